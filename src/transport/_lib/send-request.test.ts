import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import process from 'node:process';
import {Readable} from 'node:stream';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {connectTimeoutMs} from '../../protocol/constants.js';
import {createPooledAgent} from './create-pooled-agent.js';
import {sendRequest, type SendOutcome} from './send-request.js';

/** Most that may lie in buffers of the two ends and of the system between them, bytes. */
const maxHeldBytes = 32 * 1024 * 1024;

type Handler = (socket: Socket, request: string, count: number) => unknown;

/** Starts a server that is given each request's text; requests are short. */
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

/** Sends a beginning and then bytes until the other end closes. */
function writeOn(socket: Socket, beginning: string): void {
	const write = (): void => {
		if (!socket.destroyed) {
			socket.write('x'.repeat(8192), write);
		}
	};

	socket.write(beginning, write);
}

const cases: ReadonlyArray<readonly [string, Handler, string]> = [
	['a whole answer', (socket) => socket.write(whole), '200 ok'],
	[
		'an answer that ends with its connection',
		(socket) => socket.end(open),
		'200 part',
	],
	[
		'an answer without a length whose connection is reset',
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
		'an answer without a length that is reset with its last bytes',
		(socket) => {
			socket.write(open, () => {
				socket.resetAndDestroy();
			});
		},
		'truncated',
	],
	[
		'a long answer without a length whose connection is reset',
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
		'an answer cut before its length',
		(socket) => socket.end(whole.slice(0, -1)),
		'truncated',
	],
	[
		'an answer with a status that is none',
		(socket) => socket.write(whole.replace('200', '099')),
		'lost',
	],
	['a connection closed at once', (socket) => socket.destroy(), 'lost'],
	[
		'bytes that are no answer',
		(socket) => socket.write('hello\r\n\r\n'),
		'lost',
	],
	[
		'a whole answer with other bytes behind it',
		(socket) => socket.write(`${whole}hello\r\n\r\n`),
		'200 ok',
	],
	[
		'a whole answer with a second one behind it',
		(socket) => socket.write(whole + whole.replace('ok', 'no')),
		'200 ok',
	],
	[
		'a whole answer in chunks with other bytes behind it',
		(socket) => socket.write(`${chunked}2\r\nok\r\n0\r\n\r\nhello\r\n`),
		'200 ok',
	],
	[
		'a whole answer with other bytes behind it and a reset',
		(socket) => {
			socket.write(`${whole}hello\r\n\r\n`, () => {
				socket.resetAndDestroy();
			});
		},
		'200 ok',
	],
	[
		'no answer but bytes without end',
		(socket) => {
			writeOn(socket, '');
		},
		'lost',
	],
	[
		'a head without end',
		(socket) => {
			writeOn(socket, 'HTTP/1.1 200 OK\r\nx-pad: ');
		},
		'lost',
	],
	[
		'a length of a chunk without end',
		(socket) => {
			writeOn(socket, `${chunked}2;`);
		},
		'truncated',
	],
	[
		'trailers without end',
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

test('a connection on which bytes follow the answer is not used again', async (t) => {
	const {send, sockets} = await start(t, (socket) =>
		socket.write(`${whole}hello\r\n\r\n`),
	);
	await send().outcome;
	assert.equal(await describeOutcome(await send().outcome), '200 ok');
	assert.equal(sockets.size, 2);
});

test('a body without end is held up until it is read, and cut with its reader', async (t) => {
	const {send, sockets} = await start(t, (socket) => {
		writeOn(socket, open);
	});
	const outcome = await send().outcome;
	assert.ok(outcome.kind === 'answered' && outcome.body instanceof Readable);
	const [socket] = sockets;
	const closed = new Promise((resolve) => {
		socket!.once('close', resolve);
	});
	// The sender goes on until the buffers on the way are full.
	let before = -1;
	while (socket!.bytesWritten > before) {
		before = socket!.bytesWritten;
		await sleep(100);
	}

	outcome.body.destroy();
	await closed;
	assert.ok(before < maxHeldBytes, `${before} bytes`);
});

test('a second answer on an idle connection is not taken for the next one', async (t) => {
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

test('bytes that lie unread on an idle connection are not taken for an answer', async (t) => {
	const {send, sockets} = await start(t, (socket) => socket.write(whole));
	assert.equal(await describeOutcome(await send().outcome), '200 ok');
	const [idle] = sockets;
	// Goes to the operating system at once; the client has not read it yet.
	idle!.write(whole.replace('ok', 'no'));
	assert.equal(await describeOutcome(await send().outcome), '200 ok');
	assert.equal(sockets.size, 2);
});

test('a connection is used again', async (t) => {
	const {send, sockets} = await start(t, (socket) => socket.write(whole));
	await send().outcome;
	await send().outcome;
	assert.equal(sockets.size, 1);
});

test('an address without a listener: nothing was sent', async () => {
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

test('a request that is aborted before its connection stands was not sent', async (t) => {
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

test('a node that runs late does not give up a connection that stands', async (t) => {
	const {send} = await start(t, (socket) => socket.write(whole));
	const sent = send();
	process.nextTick(() => {
		const until = performance.now() + 2 * connectTimeoutMs;
		while (performance.now() < until);
	});
	assert.equal(await describeOutcome(await sent.outcome), '200 ok');
});
