/**
 * Responses that arrive before the body of their request has been sent. The rest
 * of the body was neither sent nor read on, so that the connections of the client
 * and of the server were lost.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startRawServer} from '../../../harness/_lib/start-raw-server.js';
import {restTimeoutMs} from '../../protocol/constants.js';
import {createPooledAgent} from './create-pooled-agent.js';
import {sendRequest} from './send-request.js';

/** Exceeds the buffers of both sockets. */
const bodyBytes = 32 * 1024 * 1024;
const pieceBytes = 64 * 1024;
const waitTimeoutMs = 10_000;
const response = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/** Starts a server that responds to the head of a request, and sends it a long body. */
async function sendLongBody(
	t: TestContext,
	handleSocket: (socket: Socket) => void,
	{pauseMs = 0} = {},
) {
	const address = await startRawServer(t, (socket) => {
		socket.once('data', () => {
			socket.write(response);
			socket.pause();
			handleSocket(socket);
		});
	});
	const agent = createPooledAgent({maxSockets: 1});
	t.after(() => {
		agent.destroy();
	});
	let left = bodyBytes;
	const body = new Readable({
		async read() {
			const bytes = Math.min(left, pieceBytes);
			if (bytes < pieceBytes && pauseMs > 0) {
				await sleep(pauseMs);
			}

			left -= bytes;
			this.push(bytes > 0 ? new Uint8Array(bytes) : null);
		},
	});
	const hasEnded = once(body, 'end', {
		signal: AbortSignal.timeout(waitTimeoutMs),
	});
	const outgoing = {
		method: 'POST',
		path: '/',
		headers: {host: 'a', 'content-length': String(bodyBytes)},
		body,
	};
	const outcome = await sendRequest(outgoing, {agent, address}).outcome;
	assert.equal(outcome.kind, 'answered');
	return {
		hasEnded,
		sendNext: async () =>
			sendRequest(
				{method: 'GET', path: '/next', headers: {host: 'a'}},
				{agent, address},
			).outcome,
	};
}

/** Sends a long body to a server that responds at once and reads on later. */
async function checkRestIsSent(
	t: TestContext,
	options: {readonly pauseMs?: number} = {},
): Promise<void> {
	let received = 0;
	let connections = 0;
	const {hasEnded, sendNext} = await sendLongBody(
		t,
		(socket) => {
			connections++;
			setTimeout(() => {
				socket.on('data', (data) => {
					received += data.length;
					if (data.includes('GET /next')) {
						socket.write(response);
					}
				});
				socket.resume();
			}, 200);
		},
		options,
	);
	await hasEnded;
	const next = await Promise.race([
		sendNext(),
		sleep(waitTimeoutMs, undefined, {ref: false}),
	]);
	assert.equal(next?.kind, 'answered');
	// The first read of the socket brings the head and part of the body.
	assert.ok(
		received > bodyBytes - 2 * pieceBytes,
		`${received} bytes received`,
	);
	assert.equal(connections, 1);
}

test('the rest of a body is sent to a server that has responded and reads on later', async (t) => {
	await checkRestIsSent(t);
});

test('the rest of a body is sent although its client pauses for longer than a server may', async (t) => {
	await checkRestIsSent(t, {pauseMs: 3 * restTimeoutMs});
});

test('the rest of a body is discarded if its server has responded and does not read on', async (t) => {
	const {hasEnded, sendNext} = await sendLongBody(t, () => undefined);
	await hasEnded;
	const next = await Promise.race([
		sendNext(),
		sleep(waitTimeoutMs, undefined, {ref: false}),
	]);
	assert.equal(next?.kind, 'answered');
});
