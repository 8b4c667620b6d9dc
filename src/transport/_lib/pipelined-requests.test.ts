import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import test from 'node:test';
import {
	findHeld,
	formatGet,
	listResponses,
	startPipelinedPath,
} from '../../../harness/_lib/pipelined-path.js';
import {pollUntil} from '../../../harness/poll-until.js';

// Regression: each response after SIGTERM closed its connection, also when further requests on it had been handled.
test('a stopping server answers all pipelined requests that it has handled', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.write(formatGet('/0'));
	const first = await findHeld(path, '/0');
	path.server.drain();
	path.socket.write(formatGet('/1') + formatGet('/2'));
	const second = await findHeld(path, '/1');
	const third = await findHeld(path, '/2');
	third.end('<third>');
	second.end('<second>');
	first.end('<first>');
	assert.deepEqual(listResponses(await path.received), [
		'200 <first> keep-alive',
		'200 <second> keep-alive',
		'200 <third> close',
	]);
});

// Regression: a request behind a response that closes the connection was handled, and its response was lost.
test('a request behind a closing response is not handled', async (t) => {
	const path = await startPipelinedPath(t);
	path.server.drain();
	path.socket.write(formatGet('/0') + formatGet('/1'));
	const first = await findHeld(path, '/0');
	const second = await findHeld(path, '/1');
	second.end('<second>');
	path.socket.write(formatGet('/behind'));
	const {bytesWritten} = path.socket;
	const isRead = await pollUntil(
		async () => path.accepted.bytesRead === bytesWritten,
		5000,
	);
	assert.ok(isRead);
	first.end('<first>');
	assert.deepEqual(listResponses(await path.received), [
		'200 <first> keep-alive',
		'200 <second> close',
	]);
	assert.deepEqual(path.handled, ['/0', '/1']);
});

// Regression: the request behind a refusal that leaves its body unread was handled, and its response was lost.
test('a refusal that closes the connection is the last response, and nothing behind it is handled', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.write(
		formatGet('/0') +
			'POST /refused HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody' +
			formatGet('/behind'),
	);
	const first = await findHeld(path, '/0');
	first.end('<first>');
	assert.deepEqual(listResponses(await path.received), [
		'200 <first> keep-alive',
		'413 close',
	]);
	assert.deepEqual(path.handled, ['/0', '/refused']);
});

// Regression: Node.js refuses a request without a host and closes the connection, and requests behind it were handled.
test('nothing behind a request without a host is handled', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.write(
		`${formatGet('/0')}GET /1 HTTP/1.1\r\n\r\n${formatGet('/behind')}`,
	);
	const first = await findHeld(path, '/0');
	first.end('<first>');
	assert.deepEqual(listResponses(await path.received), [
		'200 <first> keep-alive',
		'400 close',
	]);
	assert.deepEqual(path.handled, ['/0']);
});

// Regression: the end of a response without length to an HTTP/1.0 client closed the connection before the responses behind it.
test('a request behind an unanswered one of HTTP/1.0 is not handled', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.write(
		'GET /0 HTTP/1.0\r\nconnection: keep-alive\r\n\r\n' + formatGet('/behind'),
	);
	const first = await findHeld(path, '/0');
	first.write('<first>');
	first.end();
	assert.deepEqual(listResponses(await path.received), ['200 <first> close']);
	assert.deepEqual(path.handled, ['/0']);
});

// Regression: a response that waited behind another one was never told that its client had left.
test('all requests of a client that leaves are cancelled, also those behind another one', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.write(formatGet('/0') + formatGet('/1') + formatGet('/2'));
	await findHeld(path, '/0');
	const second = await findHeld(path, '/1');
	const third = await findHeld(path, '/2');
	const body = new Readable({
		read() {
			this.push('a'.repeat(1_000_000));
		},
	});
	const streamed = pipeline(body, second);
	third.end('<third>');
	path.socket.destroy();
	const premature = {code: 'ERR_STREAM_PREMATURE_CLOSE'};
	await Promise.all([
		assert.rejects(path.received, premature),
		assert.rejects(streamed, premature),
	]);
	assert.ok(await pollUntil(async () => path.cancelled.length === 3, 5000));
	assert.equal(path.server.countOwed(), 0);
});
