import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
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

// Regression: the refusal of a tunnel was sent in place of the response to the request before it.
test('a request for a tunnel ends no response that is owed to a request before it', async (t) => {
	// Exceeds the buffers of both sockets.
	const length = 32 * 1024 * 1024;
	const path = await startPipelinedPath(t);
	path.socket.write(
		`${formatGet('/0')}${formatGet('/1')}CONNECT a:443 HTTP/1.1\r\nhost: a:443\r\n\r\n`,
	);
	const first = await findHeld(path, '/0');
	const second = await findHeld(path, '/1');
	first.end('<first>');
	await pipeline(
		Readable.from([Buffer.alloc(length, 'a'), Buffer.from('<second>')]),
		second,
	);
	const responses = listResponses(await path.received);
	assert.deepEqual(responses, ['200 <first> keep-alive', '200 <second> close']);
});

test('a request in front of one for a tunnel is cancelled when its client leaves', async (t) => {
	const path = await startPipelinedPath(t);
	path.socket.end(
		`${formatGet('/0')}CONNECT a:443 HTTP/1.1\r\nhost: a:443\r\n\r\n`,
	);
	assert.equal(await path.received, '');
	assert.ok(await pollUntil(async () => path.cancelled.length > 0, 5000));
});
