/**
 * Memory that a node uses for bodies that arrive in chunks of one byte. Each
 * chunk was kept as an object of its own, so that a few responses exhausted the
 * heap.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage} from 'node:http';
import {connect, type Socket} from 'node:net';
import {Readable} from 'node:stream';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen} from '../../../harness/_lib/platform-node.js';
import {readUsedMemory} from '../../../harness/_lib/read-used-memory.js';
import {startRawServer} from '../../../harness/_lib/start-raw-server.js';
import {writeWithoutEnd} from '../../../harness/_lib/write-without-end.js';
import {createPooledAgent} from './create-pooled-agent.js';
import {readRequestBody} from './read-request-body.js';
import {sendRequest, type SendOutcome} from './send-request.js';
import {waitForTurns} from './wait-for-turns.js';

/** Memory that a node may use for each byte of a body, bytes. */
const maxMemoryPerByte = 4;

/** Memory that the connections and the test use themselves, bytes. */
const maxOtherMemory = 3 * 1024 * 1024;
const exchanges = 10;
const shortBodyBytes = 60 * 1024;

/** Interval at which the received bytes are compared, ms, and the number of equal results after which nothing more is read. */
const pollMs = 50;
const quietPolls = 5;

const chunk = '1\r\nb\r\n';
const responseHead = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const requestHead =
	'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';

/** Waits until the peers have read nothing for a time; returns the bytes of the bodies that they have read. */
async function waitUntilQuiet(sockets: readonly Socket[]): Promise<number> {
	let before = 0;
	let equalPolls = 0;
	while (equalPolls < quietPolls) {
		// Sockets are read between two polls, however long a turn of the event loop takes.
		await sleep(pollMs);
		await waitForTurns(2);
		let bytes = 0;
		for (const {bytesRead} of sockets) {
			bytes += bytesRead;
		}

		equalPolls = bytes > 0 && bytes === before ? equalPolls + 1 : 0;
		before = bytes;
	}

	return before / chunk.length;
}

/** Returns the memory in use, in the heap and outside it, bytes. */
function measureMemory(): number {
	const {heapBytes, externalBytes} = readUsedMemory();
	return heapBytes + externalBytes;
}

function checkMemory(usedBefore: number, bodyBytes: number): void {
	const used = measureMemory() - usedBefore;
	const limit = maxMemoryPerByte * bodyBytes + maxOtherMemory;
	assert.ok(used <= limit, `${used} bytes used for ${bodyBytes} bytes`);
}

/** Starts an upstream that responds to each request in chunks of one byte. */
async function sendRequests(
	t: TestContext,
	respond: (socket: Socket) => void,
): Promise<{
	readonly sockets: readonly Socket[];
	readonly outcomes: ReadonlyArray<Promise<SendOutcome>>;
}> {
	const address = await startRawServer(t, (socket) => {
		socket.once('data', () => {
			respond(socket);
		});
	});
	const sockets: Socket[] = [];
	const agent = createPooledAgent({
		onSocket(socket) {
			sockets.push(socket);
		},
	});
	t.after(() => {
		agent.destroy();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const outcomes = Array.from(
		{length: exchanges},
		async () =>
			sendRequest(
				{method: 'GET', path: '/', headers: {host: 'a'}},
				{agent, address},
			).outcome,
	);
	return {sockets, outcomes};
}

/** Sends requests whose bodies come in chunks of one byte, to a server that passes each to a reader. */
async function receiveRequests(
	t: TestContext,
	send: (socket: Socket) => void,
	read: (request: IncomingMessage) => void,
): Promise<readonly Socket[]> {
	const accepted: Socket[] = [];
	const server = createServer(read);
	server.on('connection', (socket) => {
		accepted.push(socket);
	});
	const address = await listen(server, t);
	const [host, port] = address.split(':');
	for (let index = 0; index < exchanges; index++) {
		const socket = connect(Number(port), host);
		t.after(() => {
			socket.destroy();
		});
		socket.on('error', () => {
			// The server closes the connection.
		});
		socket.write(requestHead);
		send(socket);
	}

	return accepted;
}

test('responses in chunks of one byte do not exhaust the memory while they are buffered', async (t) => {
	const chunks = Buffer.from(chunk.repeat(shortBodyBytes));
	const usedBefore = measureMemory();
	const {sockets} = await sendRequests(t, (socket) => {
		socket.write(responseHead);
		socket.write(chunks);
	});
	checkMemory(usedBefore, await waitUntilQuiet(sockets));
});

test('responses in chunks of one byte without end do not exhaust the memory while nobody reads them', async (t) => {
	const chunks = Buffer.from(chunk.repeat(shortBodyBytes));
	const usedBefore = measureMemory();
	const {sockets, outcomes} = await sendRequests(t, (socket) => {
		socket.write(responseHead);
		writeWithoutEnd(socket, chunks);
	});
	const received = await Promise.all(outcomes);
	checkMemory(usedBefore, await waitUntilQuiet(sockets));
	for (const outcome of received) {
		assert.ok(outcome.kind === 'answered' && outcome.body instanceof Readable);
		outcome.body.destroy();
	}
});

test('requests in chunks of one byte do not exhaust the memory while they are buffered', async (t) => {
	const chunks = Buffer.from(chunk.repeat(shortBodyBytes));
	const usedBefore = measureMemory();
	const sockets = await receiveRequests(
		t,
		(socket) => {
			socket.write(chunks);
		},
		(request) => {
			void readRequestBody(request, {maxBytes: 2 * shortBodyBytes});
		},
	);
	checkMemory(usedBefore, await waitUntilQuiet(sockets));
});

test('requests in chunks of one byte do not exhaust the memory while nobody reads their streams', async (t) => {
	const chunks = Buffer.from(chunk.repeat(shortBodyBytes));
	const usedBefore = measureMemory();
	const bodies: Readable[] = [];
	const sockets = await receiveRequests(
		t,
		(socket) => {
			writeWithoutEnd(socket, chunks);
		},
		(request) => {
			const maxBytes = Number.POSITIVE_INFINITY;
			void readRequestBody(request, {maxBytes}).then((read) => {
				assert.ok(read.kind === 'read' && read.body instanceof Readable);
				bodies.push(read.body);
			});
		},
	);
	checkMemory(usedBefore, await waitUntilQuiet(sockets));
	assert.equal(bodies.length, exchanges);
	for (const body of bodies) {
		body.destroy();
	}
});
