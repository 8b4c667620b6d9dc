import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer,
	request as startRequest,
	type ClientRequest,
	type IncomingMessage,
} from 'node:http';
import {Readable} from 'node:stream';
import test, {type TestContext} from 'node:test';
import {listen} from '../../../harness/_lib/platform-node.js';
import {recordUnhandled} from '../../../harness/record-unhandled.js';
import {bodyPrefixBytes} from '../../protocol/constants.js';
import {createBodyMemoryBudget} from './create-body-memory-budget.js';
import {readRequestBody} from './read-request-body.js';

const maxBytes = 1_000_000;
const uploadBytes = 360_000;

/** Opens an upload with a content-length; returns the request on both sides. */
async function openUpload(
	t: TestContext,
	bytes: number,
): Promise<{sent: ClientRequest; received: IncomingMessage}> {
	const server = createServer();
	const address = await listen(server, t);
	const [host, port] = address.split(':');
	const sent = startRequest({
		host,
		port,
		method: 'POST',
		agent: false,
		headers: {'content-length': bytes},
	});
	sent.on('error', () => {
		// The test aborts the upload.
	});
	sent.flushHeaders();
	const received = await new Promise<IncomingMessage>((resolve) => {
		server.once('request', resolve);
	});
	return {sent, received};
}

test('buffers an upload that fits into the memory budget', async (t) => {
	const {sent, received} = await openUpload(t, uploadBytes);
	const memory = createBodyMemoryBudget(uploadBytes);
	sent.end(new Uint8Array(uploadBytes));
	const read = await readRequestBody(received, {maxBytes, memory});
	assert.ok(read.kind === 'read' && read.body instanceof Uint8Array);
	assert.equal(read.body.length, uploadBytes);
	assert.equal(read.reservedBytes, uploadBytes);
	assert.equal(memory.tryReserve(1), false);
});

test('streams an upload that exceeds the memory budget', async (t) => {
	const {sent, received} = await openUpload(t, uploadBytes);
	sent.end(new Uint8Array(uploadBytes));
	const memory = createBodyMemoryBudget(uploadBytes - 1);
	const read = await readRequestBody(received, {maxBytes, memory});
	assert.ok(read.kind === 'read' && read.body instanceof Readable);
	assert.equal(read.reservedBytes, 0);
	read.body.destroy();
});

// No part of a truncated upload may be forwarded.
test('refuses a truncated upload and releases its memory', async (t) => {
	const {sent, received} = await openUpload(t, uploadBytes);
	const memory = createBodyMemoryBudget(uploadBytes);
	sent.write(new Uint8Array(1000));
	received.once('data', () => {
		sent.destroy();
	});
	const read = await readRequestBody(received, {maxBytes, memory});
	assert.deepEqual(read, {kind: 'refused', reason: 'cancelled'});
	assert.equal(memory.tryReserve(uploadBytes), true);
});

test('a client that leaves before the first bytes of a streamed upload ends no process', async (t) => {
	const unhandled = recordUnhandled(t);
	const {sent, received} = await openUpload(t, uploadBytes);
	const reading = readRequestBody(received, {maxBytes});
	sent.destroy();
	const read = await reading;
	assert.ok(read.kind === 'read' && read.body instanceof Readable);
	await assert.rejects(read.body.toArray());
	assert.deepEqual(unhandled, []);
});

// Such a request was held for a minute, beyond its client's deadline.
test('refuses a body that has not arrived by the deadline', async (t) => {
	const {sent, received} = await openUpload(t, uploadBytes);
	const memory = createBodyMemoryBudget(uploadBytes);
	sent.write(new Uint8Array(1000));
	const read = await readRequestBody(received, {
		maxBytes,
		memory,
		timeoutMs: 50,
	});
	assert.deepEqual(read, {kind: 'refused', reason: 'deadline'});
	assert.equal(memory.tryReserve(uploadBytes), true);
	// The rest is read, so that the connection can be reused.
	const ended = once(received, 'end');
	sent.end(new Uint8Array(uploadBytes - 1000));
	await ended;
});

test('a long body has the same prefix whether it is buffered or streamed', async (t) => {
	const bytes = Uint8Array.from(
		{length: uploadBytes},
		(_, index) => index % 251,
	);
	const prefixes: number[][] = [];
	for (const budgetBytes of [uploadBytes, 0]) {
		const {sent, received} = await openUpload(t, uploadBytes);
		const memory = createBodyMemoryBudget(budgetBytes);
		sent.end(bytes);
		const read = await readRequestBody(received, {maxBytes, memory});
		assert.ok(read.kind === 'read');
		prefixes.push([...read.prefix]);
		if (read.body instanceof Readable) {
			read.body.destroy();
		}
	}

	assert.deepEqual(prefixes, [
		[...bytes.subarray(0, bodyPrefixBytes)],
		[...bytes.subarray(0, bodyPrefixBytes)],
	]);
});
