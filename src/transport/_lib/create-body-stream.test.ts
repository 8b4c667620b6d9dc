import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer,
	request as startRequest,
	type ClientRequest,
	type IncomingMessage,
} from 'node:http';
import type {Readable} from 'node:stream';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen} from '../../../harness/_lib/platform-node.js';
import {createPieceBuffer} from './create-piece-buffer.js';
import {createBodyStream} from './create-body-stream.js';

/** Opens a request with a body in chunks; returns both sides. */
async function openRequest(
	t: TestContext,
): Promise<{sent: ClientRequest; received: IncomingMessage}> {
	const server = createServer();
	const address = await listen(server, t);
	const [host, port] = address.split(':');
	const sent = startRequest({host, port, method: 'POST', agent: false});
	sent.on('error', () => {
		// The server closes the connection.
	});
	sent.flushHeaders();
	const received = await new Promise<IncomingMessage>((resolve) => {
		server.once('request', resolve);
	});
	return {sent, received};
}

async function readText(body: Readable): Promise<string> {
	let text = '';
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		text += Buffer.from(chunk).toString();
	}

	return text;
}

test('streams what was received before and what follows', async (t) => {
	const {sent, received} = await openRequest(t);
	const before = createPieceBuffer();
	before.add(Buffer.from('lamb '));
	const body = createBodyStream(received, {received: before});
	sent.write('and ');
	await sleep(20);
	sent.end('rice');
	assert.equal(await readText(body), 'lamb and rice');
});

test('reads on after a slow reader', async (t) => {
	const {sent, received} = await openRequest(t);
	const body = createBodyStream(received);
	const text = 'x'.repeat(1_000_000);
	sent.end(text);
	await sleep(100);
	let length = 0;
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		length += chunk.length;
		await sleep(1);
	}

	assert.equal(length, text.length);
	assert.equal(received.complete, true);
});

test('fails if the body is too long and closes its connection', async (t) => {
	const {sent, received} = await openRequest(t);
	const body = createBodyStream(received, {maxBytes: 1000});
	sent.end('x'.repeat(1001));
	await assert.rejects(readText(body), /too large/v);
	assert.equal(received.destroyed, true);
});

test('fails if the body is truncated', async (t) => {
	const {sent, received} = await openRequest(t);
	const body = createBodyStream(received);
	sent.write('lamb');
	body.once('data', () => {
		sent.destroy();
	});
	await assert.rejects(once(body, 'end'));
});
