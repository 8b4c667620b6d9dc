import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import process from 'node:process';
import {Readable} from 'node:stream';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {connectTimeoutMs} from '../../protocol/constants.js';
import {recordUnhandled} from '../../../harness/record-unhandled.js';
import {writeWithoutEnd} from '../../../harness/_lib/write-without-end.js';
import {createPooledAgent} from './create-pooled-agent.js';
import {sendRequest, type SendOutcome} from './send-request.js';

/** Maximum data in the buffers of client, server and operating system together, bytes. */
const maxHeldBytes = 32 * 1024 * 1024;

type Handler = (socket: Socket, request: string, count: number) => unknown;

/** Starts a server whose handler gets the text of each request; requests must be short. */
async function start(t: TestContext, handler: Handler) {
	const sockets = new Set<Socket>();
	let count = 0;
	const server = createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => {
			sockets.delete(socket);
		});
		socket.on('data', (data) => {
			count++;
			handler(socket, String(data), count);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	const port = typeof bound === 'object' ? bound?.port : 0;
	const agent = createPooledAgent();
	t.after(() => {
		agent.destroy();
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	const address = `127.0.0.1:${port}`;
	const outgoing = {method: 'GET', path: '/', headers: {host: 'a'}};
	return {
		address,
		sockets,
		send: () => sendRequest(outgoing, {agent, address}),
	};
}

async function describeOutcome(outcome: SendOutcome): Promise<string> {
	if (outcome.kind !== 'answered') {
		return outcome.kind;
	}

	if (outcome.body instanceof Readable) {
		try {
			const {length} = await outcome.body.toArray();
			return `streamed ${length > 0 ? 'whole' : 'nothing'}`;
		} catch {
			return 'stream broken';
		}
	}

	return `${outcome.status} ${String(outcome.body)}`;
}

const whole = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
const open = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart';
const long = `HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${'x'.repeat(100_000)}`;

const chunked = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

/** Sends a prefix and then more data until the client closes the connection. */
function writeOn(socket: Socket, beginning: string): void {
	socket.write(beginning);
	writeWithoutEnd(socket, Buffer.from('x'.repeat(8192)));
}

const cases: ReadonlyArray<readonly [string, Handler, string]> = [
	['a complete response', (socket) => socket.write(whole), '200 ok'],
	[
		'a response delimited by the close of its connection',
		(socket) => socket.end(open),
		'200 part',
	],
	[
		'a response without a length whose connection is reset',
		(socket) => {
			socket.write(open, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			});
		},
		'truncated',
	],
	[
		'a response without a length whose connection is reset with its last bytes',
		(socket) => {
			socket.write(open, () => {
				socket.resetAndDestroy();
			});
		},
		'truncated',
	],
	[
		'a long response without a length whose connection is reset',
		(socket) => {
			socket.write(long, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 50);
			});
		},
		'stream broken',
	],
	[
		'a response shorter than its content length',
		(socket) => socket.end(whole.slice(0, -1)),
		'truncated',
	],
	[
		'a response with an invalid status',
		(socket) => socket.write(whole.replace('200', '099')),
		'lost',
	],
	[
		'a response with a status above the range of HTTP',
		(socket) => socket.write(whole.replace('200', '600')),
		'lost',
	],
	['a connection closed immediately', (socket) => socket.destroy(), 'lost'],
	[
		'data that is not an HTTP response',
		(socket) => socket.write('hello\r\n\r\n'),
		'lost',
	],
	[
		'a complete response followed by other data',
		(socket) => socket.write(`${whole}hello\r\n\r\n`),
		'200 ok',
	],
	[
		'a complete response followed by a second one',
		(socket) => socket.write(whole + whole.replace('ok', 'no')),
		'200 ok',
	],
	[
		'a complete chunked response followed by other data',
		(socket) => socket.write(`${chunked}2\r\nok\r\n0\r\n\r\nhello\r\n`),
		'200 ok',
	],
	[
		'a complete response followed by other data and a reset',
		(socket) => {
			socket.write(`${whole}hello\r\n\r\n`, () => {
				socket.resetAndDestroy();
			});
		},
		'200 ok',
	],
	[
		'endless data without a response',
		(socket) => {
			writeOn(socket, '');
		},
		'lost',
	],
	[
		'an endless response head',
		(socket) => {
			writeOn(socket, 'HTTP/1.1 200 OK\r\nx-pad: ');
		},
		'lost',
	],
	[
		'an endless chunk header',
		(socket) => {
			writeOn(socket, `${chunked}2;`);
		},
		'truncated',
	],
	[
		'endless trailers',
		(socket) => {
			writeOn(socket, `${chunked}2\r\nok\r\n0\r\nx-pad: `);
		},
		'truncated',
	],
];

for (const [name, handler, expected] of cases) {
	test(`${name}: ${expected}`, async (t) => {
		const {send} = await start(t, handler);
		assert.equal(await describeOutcome(await send().outcome), expected);
	});
}

// Regression: nobody listened for the error of the stream yet, and the process ended.
test('a long response that turns into other data while it begins to be streamed ends no process', async (t) => {
	const unhandled = recordUnhandled(t);
	const {send} = await start(t, (socket) => {
		socket.write(`${chunked}f000\r\n${'x'.repeat(0xf0_00)}\r\n`, () => {
			setTimeout(() => {
				socket.write(`2000\r\n${'x'.repeat(0x20_00)}\r\nhello\r\n`);
			}, 20);
		});
	});
	const outcome = await send().outcome;
	assert.equal(await describeOutcome(outcome), 'stream broken');
	assert.deepEqual(unhandled, []);
});

test('a request whose body has failed before is not sent', async (t) => {
	const {address} = await start(t, () => undefined);
	const agent = createPooledAgent();
	t.after(() => {
		agent.destroy();
	});
	const body = new Readable();
	body.destroy();
	const {outcome} = sendRequest(
		{method: 'POST', path: '/', headers: {}, body},
		{agent, address},
	);
	assert.deepEqual(await outcome, {kind: 'not-sent'});
});

test('a connection on which data follows the response is not reused', async (t) => {
	const {send, sockets} = await start(t, (socket) =>
		socket.write(`${whole}hello\r\n\r\n`),
	);
	await send().outcome;
	assert.equal(await describeOutcome(await send().outcome), '200 ok');
	assert.equal(sockets.size, 2);
});

test('back pressure stops an endless body until it is read, and destroying the stream closes the connection', async (t) => {
	const {send, sockets} = await start(t, (socket) => {
		writeOn(socket, open);
	});
	const outcome = await send().outcome;
	assert.ok(outcome.kind === 'answered' && outcome.body instanceof Readable);
	const [socket] = sockets;
	const closed = new Promise((resolve) => {
		socket!.once('close', resolve);
	});
	// The sender continues until the buffers in between are full.
	let before = -1;
	while (socket!.bytesWritten > before) {
		before = socket!.bytesWritten;
		await sleep(100);
	}

	outcome.body.destroy();
	await closed;
	assert.ok(before < maxHeldBytes, `${before} bytes`);
});

test('a second response on an idle connection is not taken for the next response', async (t) => {
	const {send, sockets} = await start(t, (socket, _request, count) => {
		socket.write(whole);
		if (count === 1) {
			setTimeout(() => {
				socket.write(whole.replace('ok', 'no'));
			}, 20);
		}
	});
	assert.equal(await describeOutcome(await send().outcome), '200 ok');
	await new Promise((resolve) => {
		setTimeout(resolve, 60);
	});
	assert.equal(await describeOutcome(await send().outcome), '200 ok');
	assert.equal(sockets.size, 2);
});

test('unread data on an idle connection is not taken for a response', async (t) => {
	const {send, sockets} = await start(t, (socket) => socket.write(whole));
	assert.equal(await describeOutcome(await send().outcome), '200 ok');
	const [idle] = sockets;
	// The data is passed to the operating system immediately; the client has not read it yet.
	idle!.write(whole.replace('ok', 'no'));
	assert.equal(await describeOutcome(await send().outcome), '200 ok');
	assert.equal(sockets.size, 2);
});

test('a connection is reused', async (t) => {
	const {send, sockets} = await start(t, (socket) => socket.write(whole));
	await send().outcome;
	await send().outcome;
	assert.equal(sockets.size, 1);
});

test('a request to an address without a listener is not sent', async () => {
	const agent = createPooledAgent();
	const {outcome} = sendRequest(
		{method: 'GET', path: '/', headers: {}},
		{agent, address: '127.0.0.1:1'},
	);
	assert.deepEqual(await outcome, {kind: 'not-sent'});
});

test('an aborted request may have been sent', async (t) => {
	const {send} = await start(t, () => undefined);
	const sent = send();
	setTimeout(sent.abort, 50);
	assert.equal(await describeOutcome(await sent.outcome), 'aborted');
});

test('a request aborted before its connection is established is not sent', async (t) => {
	const {address} = await start(t, (socket) => socket.write(whole));
	const agent = createPooledAgent();
	t.after(() => {
		agent.destroy();
	});
	let sends = 0;
	const outgoing = {method: 'GET', path: '/', headers: {}};
	const onSend = (): void => {
		sends++;
	};

	const aborted = sendRequest(outgoing, {agent, address, onSend});
	aborted.abort();
	assert.deepEqual(await aborted.outcome, {kind: 'not-sent'});
	assert.equal(sends, 0);

	const sent = sendRequest(outgoing, {agent, address, onSend});
	await sent.outcome;
	assert.equal(sends, 1);
});

test('an established connection does not time out when the event loop lags', async (t) => {
	const {send} = await start(t, (socket) => socket.write(whole));
	const sent = send();
	process.nextTick(() => {
		const until = performance.now() + 2 * connectTimeoutMs;
		while (performance.now() < until);
	});
	assert.equal(await describeOutcome(await sent.outcome), '200 ok');
});

// A node that stood still wrote requests to connections that had opened meanwhile, long after their clients had left.
test('a request that must no longer be sent once its connection opens is not sent', async (t) => {
	const requests: string[] = [];
	const {address, send} = await start(t, (socket, request) => {
		requests.push(request);
		socket.write(whole);
	});
	const agent = createPooledAgent();
	t.after(() => {
		agent.destroy();
	});
	const outgoing = {method: 'GET', path: '/late', headers: {}};
	let sends = 0;
	const options = {
		agent,
		address,
		prepareSend: () => undefined,
		onSend() {
			sends++;
		},
	};

	const {outcome} = sendRequest(outgoing, options);
	assert.deepEqual(await outcome, {kind: 'not-sent'});
	assert.equal(sends, 0);
	await send().outcome;
	assert.equal(requests.filter((text) => text.includes('/late')).length, 0);
});

test('headers that are set right before a request is sent arrive, with a stream as well', async (t) => {
	const requests: string[] = [];
	const {address} = await start(t, (socket, request) => {
		requests.push(request);
		socket.write(whole);
	});
	const agent = createPooledAgent();
	t.after(() => {
		agent.destroy();
	});
	const headers = {host: 'a', left: '900', 'content-length': '5'};
	const prepareSend = () => ({left: '300'});
	for (const body of [Buffer.from('valve'), Readable.from(['valve'])]) {
		const {outcome} = sendRequest(
			{method: 'POST', path: '/', headers, body},
			{agent, address, prepareSend},
		);
		assert.equal(await describeOutcome(await outcome), '200 ok');
	}

	const text = requests.join('');
	assert.equal(text.match(/left: 300/gv)?.length, 2);
	assert.equal(text.match(/left: 900/gv), null);
	assert.equal(text.match(/valve/gv)?.length, 2);
});

test('a body that fails before its request has a connection ends the request unsent', async (t) => {
	const {address} = await start(t, () => undefined);
	const agent = createPooledAgent();
	t.after(() => {
		agent.destroy();
	});
	const body = new Readable({
		read() {
			this.destroy(new Error('sender disconnected'));
		},
	});
	body.resume();
	const {outcome} = sendRequest(
		{method: 'POST', path: '/', headers: {}, body},
		{agent, address, prepareSend: () => ({})},
	);
	assert.deepEqual(await outcome, {kind: 'not-sent'});
});

test('a node that is behind reads why a request was abandoned before it sends it', async (t) => {
	const {address, sockets} = await start(t, (socket) => socket.write(whole));
	const agent = createPooledAgent();
	t.after(() => {
		agent.destroy();
	});
	let prepared = 0;
	const options = {
		agent,
		address,
		isBehind: () => true,
		prepareSend() {
			prepared++;
			return {};
		},
	};
	const outgoing = {method: 'GET', path: '/', headers: {}};
	const served = sendRequest(outgoing, options);
	assert.equal(await describeOutcome(await served.outcome), '200 ok');
	assert.equal(prepared, 1);

	// On the kept connection, the abort arrives in the turn after the request was due.
	const abandoned = sendRequest(outgoing, options);
	process.nextTick(() => {
		setImmediate(abandoned.abort);
	});
	assert.deepEqual(await abandoned.outcome, {kind: 'not-sent'});
	assert.equal(prepared, 1);
	assert.equal(sockets.size, 1);
});

const refusedValue = 'prices\u20AC';

/** Requests that Node.js refuses to send, because of a text or a number of others. */
const refusedRequests = [
	{about: 'a port above 65535', port: '99999'},
	{
		about: 'a character above U+00FF in a header',
		headers: {name: refusedValue},
	},
	{about: 'a line break in a header', headers: {name: 'line\nbreak'}},
	{about: 'a space in the path', path: '/health check'},
	{about: 'a character above U+00FF in the path', path: `/${refusedValue}`},
	{
		about: 'a header that is set right before it is sent',
		prepareSend: () => ({name: refusedValue}),
	},
	{
		about: 'the same on a node that is behind',
		prepareSend: () => ({name: refusedValue}),
		isBehind: () => true,
	},
];

for (const {
	about,
	port,
	path = '/',
	headers = {},
	...rest
} of refusedRequests) {
	// Regression: Node.js threw, nobody caught it, and the process ended.
	test(`a request that Node.js refuses is not sent, and says why: ${about}`, async (t) => {
		const requests: string[] = [];
		const {address, send} = await start(t, (socket, request) => {
			requests.push(request);
			socket.write(whole);
		});
		const agent = createPooledAgent();
		t.after(() => {
			agent.destroy();
		});
		const unhandled = recordUnhandled(t);
		let sends = 0;
		const options = {
			agent,
			address: port === undefined ? address : `127.0.0.1:${port}`,
			onSend() {
				sends++;
			},
			...rest,
		};
		for (const body of [undefined, Readable.from(['valve'])]) {
			const sent = sendRequest({method: 'POST', path, headers, body}, options);
			const outcome = await sent.outcome;
			sent.abort();
			assert.equal(outcome.kind, 'not-sent');
			assert.match(outcome.refusal ?? '', /Error/v);
		}

		await send().outcome;
		assert.equal(requests.length, 1);
		assert.equal(sends, 0);
		assert.deepEqual(unhandled, []);
	});
}
