import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import {createSampleAttempt} from '../../../harness/create-sample-attempt.js';
import {maxBufferedBytes} from '../../protocol/constants.js';
import {createAttemptHeaders} from './create-attempt-headers.js';
import {formatRequestKey} from './format-request-key.js';
import {readAttempt} from './read-attempt.js';
import {readFingerprint} from './read-fingerprint.js';
import {selectBody} from './select-body.js';

const bodies: ReadonlyArray<
	readonly [string, Uint8Array, Record<string, string>]
> = [
	['no body', new Uint8Array(), {}],
	['an empty body', new Uint8Array(), {'content-length': '0'}],
	['a body', Buffer.from('lamb'), {'content-length': '4'}],
	['a body in chunks', Buffer.from('lamb'), {'transfer-encoding': 'chunked'}],
	['a long body', Buffer.alloc(maxBufferedBytes + 1, 'a'), {}],
];

for (const [name, body, bodyHeaders] of bodies) {
	test(`the node of a caller and the gate read the same fingerprint of a request with ${name}`, () => {
		const sent = createSampleAttempt({
			method: 'POST',
			path: '/orders/lamb?kilo=1',
			origin: 'payables',
			headers: {host: 'prices.example', ...bodyHeaders},
			body,
		});
		const headers = createAttemptHeaders(sent);
		selectBody(body, headers);
		const received = readAttempt(headers, {
			method: sent.method,
			path: sent.path,
			body,
			signal: sent.signal,
		});
		assert.equal(readFingerprint(received), readFingerprint(sent));
		assert.equal(formatRequestKey(received), formatRequestKey(sent));
	});
}

test('requests with different bodies have different keys', () => {
	const keys = bodies.map(([, body]) =>
		formatRequestKey(createSampleAttempt({body})),
	);
	// Two of the bodies are empty, and two have the same content.
	assert.equal(new Set(keys).size, bodies.length - 2);
});
