import assert from 'node:assert/strict';
import test from 'node:test';
import {computeRetryAfter} from './compute-retry-after.js';

const input = {waitMs: 200, serviceMs: 50, remainingMs: 2000, random: 0.5};

test('the delay follows the expected wait', () => {
	assert.equal(computeRetryAfter(input), 0.15);
	assert.equal(computeRetryAfter({...input, waitMs: 400}), 0.35);
});

test('the delay leaves time for another try', () => {
	assert.equal(computeRetryAfter({...input, waitMs: 5000}), 0.6);
	assert.equal(
		computeRetryAfter({...input, waitMs: 5000, remainingMs: 100}),
		0.03,
	);
});

test('clients that are refused together do not come back together', () => {
	const delays = [0, 0.25, 0.75].map((random) =>
		computeRetryAfter({...input, random}),
	);
	assert.equal(new Set(delays).size, 3);
	assert.ok(Math.max(...delays) / Math.min(...delays) > 1.4);
});
