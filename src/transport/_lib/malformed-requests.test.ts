import assert from 'node:assert/strict';
import test from 'node:test';
import {
	findHeld,
	formatGet,
	listResponses,
	startPipelinedPath,
} from '../../../harness/_lib/pipelined-path.js';
import {pollUntil} from '../../../harness/poll-until.js';

// Regression: a malformed head destroyed the connection, and with it the responses to requests that had been handled.
test('a malformed head ends no response that is owed to a request before it', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.write(`${formatGet('/0')}${formatGet('/1')}GET\r\n\r\n`);
	const first = await findHeld(path, '/0');
	const second = await findHeld(path, '/1');
	second.end('<second>');
	first.end('<first>');
	assert.deepEqual(listResponses(await path.received), [
		'200 <first> keep-alive',
		'200 <second> close',
	]);
});

// Regression: what a client sent behind its last request was taken for a malformed one, which destroyed the connection.
test('a request that closes the connection is answered although another one follows', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.write(
		formatGet('/0') +
			formatGet('/1', 'connection: close\r\n') +
			formatGet('/behind'),
	);
	const first = await findHeld(path, '/0');
	const second = await findHeld(path, '/1');
	first.end('<first>');
	second.end('<second>');
	assert.deepEqual(listResponses(await path.received), [
		'200 <first> keep-alive',
		'200 <second> close',
	]);
	assert.deepEqual(path.handled, ['/0', '/1']);
});

// Regression: a body that broke the framing destroyed the connection, and with it the responses before its own.
test('a malformed body ends no response that is owed to a request before it', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.write(
		`${formatGet('/0')}POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nx\r\n`,
	);
	const first = await findHeld(path, '/0');
	await findHeld(path, '/1');
	first.end('<first>');
	assert.deepEqual(listResponses(await path.received), ['200 <first> close']);
});

// Regression: a head that was not received in time destroyed the connection, also between two responses that were owed.
test('a head that times out ends no response that is owed to a request before it', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.write(`${formatGet('/0')}${formatGet('/1')}GET /2`);
	const first = await findHeld(path, '/0');
	const second = await findHeld(path, '/1');
	first.end('<first>');
	const error = Object.assign(new Error('request timed out'), {
		code: 'ERR_HTTP_REQUEST_TIMEOUT',
	});
	path.accepted.emit('error', error);
	second.end('<second>');
	assert.deepEqual(listResponses(await path.received), [
		'200 <first> keep-alive',
		'200 <second> close',
	]);
});

test('a connection with a response on its way is closed when its client leaves behind malformed bytes', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.end(`${formatGet('/0')}GET\r\n\r\n`);
	assert.equal(await path.received, '');
	assert.ok(await pollUntil(async () => path.cancelled.length > 0, 5000));
});

test('a client is told of a malformed head, of one that is too long and of one that is late', async (t) => {
	const malformed = await startPipelinedPath(t);
	malformed.socket.write('GET\r\n\r\n');
	assert.deepEqual(listResponses(await malformed.received), ['400 close']);
	const long = await startPipelinedPath(t);
	long.socket.write(formatGet('/0', `a: ${'a'.repeat(100_000)}\r\n`));
	assert.deepEqual(listResponses(await long.received), ['431 close']);
	const late = await startPipelinedPath(t);
	late.socket.write('GET /0');
	assert.ok(await pollUntil(async () => late.accepted.bytesRead > 0, 5000));
	const error = Object.assign(new Error('request timed out'), {
		code: 'ERR_HTTP_REQUEST_TIMEOUT',
	});
	late.accepted.emit('error', error);
	assert.deepEqual(listResponses(await late.received), ['408 close']);
});
