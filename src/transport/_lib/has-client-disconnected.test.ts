import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, IncomingMessage} from 'node:http';
import {connect, createServer as createTcpServer, Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {hasClientDisconnected} from './has-client-disconnected.js';

/** Creates a request that is destroyed in the next iteration of the event loop. */
function createDisconnectedRequest(): IncomingMessage {
	const request = new IncomingMessage(new Socket());
	request.on('error', () => {
		// The test destroys the request on purpose.
	});
	setImmediate(() => {
		request.destroy();
	});
	return request;
}

/** Reads a request from a socket that its client has already half-closed. */
async function readHalfClosedRequest(t: TestContext): Promise<IncomingMessage> {
	const listener = createTcpServer({pauseOnConnect: true, allowHalfOpen: true});
	listener.listen(0, '127.0.0.1');
	await once(listener, 'listening');
	const bound = listener.address();
	const port = typeof bound === 'object' ? bound!.port : 0;
	const client = connect(port, '127.0.0.1');
	const [connection] = await Promise.all([
		new Promise<Socket>((resolve) => {
			listener.once('connection', resolve);
		}),
		once(client, 'connect'),
	]);
	t.after(() => {
		client.destroy();
		connection.destroy();
		listener.close();
	});
	client.end('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	await once(client, 'finish');

	const server = createServer();
	server.emit('connection', connection);
	connection.resume();
	return new Promise((resolve) => {
		server.on('request', resolve);
	});
}

test('detects under lag that the client of a request has disconnected', async () => {
	assert.equal(
		await hasClientDisconnected(createDisconnectedRequest(), 100),
		true,
	);
});

test('detects under lag the end of the connection behind the request', async (t) => {
	const request = await readHalfClosedRequest(t);
	assert.equal(await hasClientDisconnected(request, 100), true);
});

test('reports no disconnect under lag while the client is connected', async () => {
	const request = new IncomingMessage(new Socket());
	assert.equal(await hasClientDisconnected(request, 100), false);
});

test('does not wait without lag', async () => {
	assert.equal(
		await hasClientDisconnected(createDisconnectedRequest(), 0),
		false,
	);
});
