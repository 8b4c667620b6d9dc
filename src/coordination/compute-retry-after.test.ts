import assert from 'node:assert/strict';
import test from 'node:test';
import {computeRetryAfter} from './compute-retry-after.js';

const input = {
	waitMs: 200,
	serviceMs: 50,
	objectiveMs: 200,
	remainingMs: 2000,
	random: 0.5,
};

test('a client that can be answered in time retries when the queue is short enough', () => {
	assert.equal(computeRetryAfter(input), 0.05);
	assert.equal(computeRetryAfter({...input, waitMs: 100}), 0.03);
});

test('a client that can only be late waits longer, and has time left for a retry', () => {
	assert.equal(computeRetryAfter({...input, objectiveMs: 0}), 0.6);
	assert.equal(
		computeRetryAfter({...input, objectiveMs: 0, remainingMs: 100}),
		0.03,
	);
});

test('retries of clients that are refused together are spread', () => {
	const delays = [0, 0.25, 0.75].map((random) =>
		computeRetryAfter({...input, random}),
	);
	assert.equal(new Set(delays).size, 3);
	assert.ok(Math.max(...delays) / Math.min(...delays) > 1.4);
});

test('the minimum delay applies to a client that could be answered in time', () => {
	const input = {waitMs: 0, serviceMs: 20, objectiveMs: 200, remainingMs: 1000};
	const shortest = {...input, random: 0.5, minDelayMs: 100};
	assert.equal(computeRetryAfter(shortest), 0.1);
	assert.equal(computeRetryAfter({...input, random: 0.5}), 0.03);
});
