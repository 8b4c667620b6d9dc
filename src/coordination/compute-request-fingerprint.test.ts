import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import {
	computeRequestFingerprint,
	type RequestIdentity,
} from './compute-request-fingerprint.js';

const identity: RequestIdentity = {
	method: 'POST',
	host: 'prices.example',
	path: '/orders/lamb?kilo=1',
	origin: 'payables',
	bodyBytes: 3,
	body: Buffer.from('abc'),
};

test('the fingerprint is the same for each repetition', () => {
	const fingerprint = computeRequestFingerprint(identity);
	assert.match(fingerprint, /^[\w\-]{22}$/v);
	assert.equal(computeRequestFingerprint({...identity}), fingerprint);
});

test('requests that differ in one property have different fingerprints', () => {
	const others: ReadonlyArray<Partial<RequestIdentity>> = [
		{},
		{method: 'PUT'},
		{host: 'orders.example'},
		{path: '/orders/lamb?kilo=2'},
		{origin: undefined},
		{origin: 'pantry'},
		{bodyBytes: undefined},
		{body: Buffer.from('abd')},
	];
	const fingerprints = others.map((change) =>
		computeRequestFingerprint({...identity, ...change}),
	);
	assert.equal(new Set(fingerprints).size, others.length);
});
