import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {createConnection} from 'node:net';
import test from 'node:test';
import {closeServer, listenOn} from './json-http.js';

/** Time after which a server that does not close fails the test, ms. */
const timeoutMs = 10_000;

// Regression: a test waited without end for the end of a connection that was never used.
test(
	'a server closes although a client holds a connection without a request',
	{timeout: timeoutMs},
	async (t) => {
		const server = createServer();
		const {hostname, port} = new URL(await listenOn(server, '127.0.0.1', 0));
		const accepted = once(server, 'connection');
		const socket = createConnection({host: hostname, port: Number(port)});
		t.after(() => {
			socket.destroy();
		});
		await accepted;
		const ended = once(socket, 'close');
		await closeServer(server);
		await ended;
		assert.equal(server.listening, false);
	},
);
