import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {createConnection, type Socket} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import test from 'node:test';
import {recordUnhandled} from '../../../harness/record-unhandled.js';
import {serverIdleMs} from '../../protocol/constants.js';
import {startServer} from './start-server.js';
import {waitMs} from './wait-ms.js';

const stopTimeoutMs = 5000;

async function isStoppedInTime(stopped: Promise<void>): Promise<boolean> {
	const timeout = new Promise<false>((resolve) => {
		setTimeout(() => {
			resolve(false);
		}, stopTimeoutMs).unref();
	});
	return Promise.race([stopped.then(() => true), timeout]);
}

test('stops although a connection has had no request', async () => {
	const server = await startServer('127.0.0.1:0', (_request, response) => {
		response.end();
	});
	const [host, port] = server.address.split(':');
	const socket = createConnection(Number(port), host);
	await Promise.all([
		once(socket, 'connect'),
		once(server.server, 'connection'),
	]);
	const isInTime = await isStoppedInTime(server.stop());
	socket.destroy();
	assert.ok(isInTime);
});

test('responds to requests in flight before it stops', async () => {
	const server = await startServer('127.0.0.1:0', (_request, response) => {
		setTimeout(() => {
			response.end('whole');
		}, 700);
	});
	const [host, port] = server.address.split(':');
	const socket = createConnection(Number(port), host);
	const received = readText(socket);
	socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	await once(server.server, 'request');
	assert.ok(await isStoppedInTime(server.stop()));
	assert.match(await received, /whole/v);
});

test('does not truncate a response to a slow client on a stop', async () => {
	// Exceeds the buffers of both sockets.
	const length = 32 * 1024 * 1024;
	const server = await startServer('127.0.0.1:0', (_request, response) => {
		response.writeHead(200, {'content-length': String(length)});
		response.end(Buffer.alloc(length));
	});
	const [host, port] = server.address.split(':');
	const socket = createConnection(Number(port), host);
	let bytes = 0;
	socket.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
	});
	socket.pause();
	socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	await once(server.server, 'request');
	const stopped = server.stop();
	socket.resume();
	await once(socket, 'close');
	assert.ok(bytes > length);
	assert.ok(await isStoppedInTime(stopped));
});

test('accepts all waiting connections before it handles a request on them', async () => {
	const clients = 40;
	let accepted = 0;
	// Number of connections accepted by the time each request was handled.
	const acceptedBefore: number[] = [];
	const server = await startServer(
		'127.0.0.1:0',
		(_request, response) => {
			acceptedBefore.push(accepted);
			response.end();
		},
		// On a busy machine, the server would stop waiting for further connections.
		{now: () => 0},
	);
	server.server.on('connection', () => {
		accepted++;
	});

	const [host, port] = server.address.split(':');
	const closed = Array.from({length: clients}, async () => {
		const socket = createConnection(Number(port), host);
		socket.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
		socket.resume();
		await once(socket, 'close');
	});
	await Promise.all(closed);
	await server.stop();

	assert.deepEqual(
		acceptedBefore,
		Array.from({length: clients}, () => clients),
	);
});

test('reads a long body and the pipelined request after it from a queued connection', async () => {
	const clients = 20;
	// Exceeds what is read from a socket at once.
	const body = Buffer.alloc(200_000, 'a');
	const server = await startServer('127.0.0.1:0', (request, response) => {
		let length = 0;
		request.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
		});
		request.on('end', () => {
			response.end(`<${length}>`);
		});
	});
	const [host, port] = server.address.split(':');
	const responses = await Promise.all(
		Array.from({length: clients}, async () => {
			const socket = createConnection(Number(port), host);
			socket.write(
				`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n`,
			);
			socket.write(body);
			socket.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
			const text = await readText(socket);
			return text.match(/<\d+>/gv)?.join('');
		}),
	);
	await server.stop();
	assert.deepEqual(new Set(responses), new Set([`<${body.length}><0>`]));
});

test('the waits of a connection before and after the server reads from it add up', async () => {
	const request = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
	let at = 1000;
	let lagMs = 0;
	const waits: number[] = [];
	const server = await startServer(
		'127.0.0.1:0',
		(incoming, response) => {
			waits.push(server.readSocketWaitMs(incoming));
			response.end();
		},
		{
			now: () => at,
			readMaxWait: () => lagMs,
			onAccepted() {
				socket.write(request);
				// Requests on other connections keep the event loop busy.
				lagMs = 600;
				at += lagMs;
			},
		},
	);
	server.server.once('connection', () => {
		at += 400;
	});
	const [host, port] = server.address.split(':');
	const socket = createConnection(Number(port), host);
	await once(socket, 'data');
	socket.write(request);
	await once(socket, 'data');
	socket.destroy();
	await server.stop();
	assert.deepEqual(waits, [1000, 600]);
});

test('closes idle connections of other nodes, and no other', async (t) => {
	t.mock.timers.enable({apis: ['setInterval']});
	const held: ServerResponse[] = [];
	const server = await startServer(
		'127.0.0.1:0',
		({url}, response) => {
			if (url === '/held') {
				held.push(response);
			} else {
				response.end();
			}
		},
		{areClientsNodes: true},
	);
	const [host, port] = server.address.split(':');

	const idle = createConnection(Number(port), host);
	const busy = createConnection(Number(port), host);
	idle.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	await once(idle, 'data');
	busy.write('GET /held HTTP/1.1\r\nhost: a\r\n\r\n');
	await once(server.server, 'request');
	t.mock.timers.tick(serverIdleMs);
	// Part of a request has been read at the next look.
	idle.write('GET / HT');
	await waitMs(50);
	t.mock.timers.tick(serverIdleMs);
	idle.write('TP/1.1\r\nhost: a\r\n\r\n');
	await once(idle, 'data');
	t.mock.timers.tick(serverIdleMs);
	const closed = once(idle, 'close');
	t.mock.timers.tick(serverIdleMs);
	await closed;
	assert.equal(busy.destroyed, false);
	held[0]!.end('whole');
	const chunks: unknown[] = await once(busy, 'data');
	assert.match(String(chunks[0]), /whole/v);
	busy.destroy();
	t.mock.timers.reset();
	assert.ok(await isStoppedInTime(server.stop()));
});

// Regression: the error of the socket had no listener, and the process ended.
test('a client that asks for a tunnel and resets its connection ends no process', async (t) => {
	const unhandled = recordUnhandled(t);
	const server = await startServer('127.0.0.1:0', (_request, response) => {
		response.end('whole');
	});
	const [host, port] = server.address.split(':');
	const socket = createConnection(Number(port), host);
	socket.pause();
	const tunnel = new Promise<Socket>((resolve) => {
		server.server.once('connect', (_request, stream: Socket) => {
			resolve(stream);
		});
	});
	socket.write('CONNECT a:443 HTTP/1.1\r\nhost: a:443\r\n\r\n');
	const closed = new Promise((resolve) => {
		void tunnel.then((stream) => stream.once('close', resolve));
	});
	// The response has arrived, but has not been read.
	await waitMs(50);
	socket.resetAndDestroy();
	await closed;
	assert.ok(await isStoppedInTime(server.stop()));
	assert.deepEqual(unhandled, []);
});

test('closes the connection of a client that has asked for a tunnel', async () => {
	const server = await startServer('127.0.0.1:0', (_request, response) => {
		response.end('whole');
	});
	const [host, port] = server.address.split(':');
	const socket = createConnection(Number(port), host);
	socket.end('CONNECT a:443 HTTP/1.1\r\nhost: a:443\r\n\r\nlamb');
	assert.match(await readText(socket), /^HTTP\/1\.1 501 /v);
	assert.ok(await isStoppedInTime(server.stop()));
});
