import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, IncomingMessage} from 'node:http';
import {connect, createServer as createTcpServer, Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {hasClientDisconnected} from './has-client-disconnected.js';

/** Creates a request whose sender is found to have gone in the next turn. */
function createOutdatedRequest(): IncomingMessage {
	const request = new IncomingMessage(new Socket());
	request.on('error', () => {
		// The end of the connection is what the test is about.
	});
	setImmediate(() => {
		request.destroy();
	});
	return request;
}

/** Has a request read from a socket in which the end of its connection lies behind it. */
async function readEndedRequest(t: TestContext): Promise<IncomingMessage> {
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

test('a late node notices that the sender of a request has gone', async () => {
	assert.equal(await hasClientDisconnected(createOutdatedRequest(), 100), true);
});

test('a late node notices the end of a connection that lies behind the request', async (t) => {
	const request = await readEndedRequest(t);
	assert.equal(await hasClientDisconnected(request, 100), true);
});

test('a late node handles a request whose sender is there', async () => {
	const request = new IncomingMessage(new Socket());
	assert.equal(await hasClientDisconnected(request, 100), false);
});

test('a node on time does not wait', async () => {
	assert.equal(await hasClientDisconnected(createOutdatedRequest(), 0), false);
});
