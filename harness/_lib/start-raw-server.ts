import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import type {TestContext} from 'node:test';

/**
 * Starts a server that speaks TCP as a test says, until the end of the test.
 *
 * @param t - the test
 * @param handleSocket - called with each connection, whose errors are ignored
 * @returns IP address and port of the server
 */
export async function startRawServer(
	t: TestContext,
	handleSocket: (socket: Socket) => void,
): Promise<string> {
	const sockets = new Set<Socket>();
	const server = createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => {
			// The client has closed the connection.
		});
		handleSocket(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const bound = server.address();
	return `127.0.0.1:${typeof bound === 'object' ? bound?.port : 0}`;
}
