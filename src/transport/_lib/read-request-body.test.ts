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
import {createBodyMemoryBudget} from './create-body-memory-budget.js';
import {readRequestBody} from './read-request-body.js';

const maxBytes = 1_000_000;
const uploadBytes = 360_000;

/** Opens an upload of a stated length; gives both its ends. */
async function open(
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
		// The test cuts it.
	});
	sent.flushHeaders();
	const received = await new Promise<IncomingMessage>((resolve) => {
		server.once('request', resolve);
	});
	return {sent, received};
}

test('an upload waits whole where it finds memory', async (t) => {
	const {sent, received} = await open(t, uploadBytes);
	const memory = createBodyMemoryBudget(uploadBytes);
	sent.end(new Uint8Array(uploadBytes));
	const read = await readRequestBody(received, {maxBytes, memory});
	assert.ok(read.kind === 'read' && read.body instanceof Uint8Array);
	assert.equal(read.body.length, uploadBytes);
	assert.equal(read.reservedBytes, uploadBytes);
	assert.equal(memory.tryReserve(1), false);
});

test('an upload that finds no memory is streamed', async (t) => {
	const {sent, received} = await open(t, uploadBytes);
	sent.end(new Uint8Array(uploadBytes));
	const memory = createBodyMemoryBudget(uploadBytes - 1);
	const read = await readRequestBody(received, {maxBytes, memory});
	assert.ok(read.kind === 'read' && read.body instanceof Readable);
	assert.equal(read.reservedBytes, 0);
	read.body.destroy();
});

// Only part of it was there; nothing of it may be sent on.
test('an upload that is cut gives back its memory and is no body', async (t) => {
	const {sent, received} = await open(t, uploadBytes);
	const memory = createBodyMemoryBudget(uploadBytes);
	sent.write(new Uint8Array(1000));
	received.once('data', () => {
		sent.destroy();
	});
	const read = await readRequestBody(received, {maxBytes, memory});
	assert.deepEqual(read, {kind: 'refused', reason: 'cancelled'});
	assert.equal(memory.tryReserve(uploadBytes), true);
});

// Such a request used to be held for a minute, beyond its client's deadline.
test('a body that trickles in is given up at the deadline', async (t) => {
	const {sent, received} = await open(t, uploadBytes);
	const memory = createBodyMemoryBudget(uploadBytes);
	sent.write(new Uint8Array(1000));
	const read = await readRequestBody(received, {
		maxBytes,
		memory,
		timeoutMs: 50,
	});
	assert.deepEqual(read, {kind: 'refused', reason: 'deadline'});
	assert.equal(memory.tryReserve(uploadBytes), true);
	// The rest is read, so that the connection can be used again.
	const ended = once(received, 'end');
	sent.end(new Uint8Array(uploadBytes - 1000));
	await ended;
});
