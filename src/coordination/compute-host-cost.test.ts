import assert from 'node:assert/strict';
import test from 'node:test';
import {computeHostCost} from './compute-host-cost.js';

const fast = {requestMs: 60, serviceMs: 60, objectiveMs: 200};
const slow = {requestMs: 120, serviceMs: 120, objectiveMs: 200};

test('a free slow host is chosen before a fast one that is full', () => {
	const slowCost = computeHostCost({...slow, load: 0.2});
	assert.ok(computeHostCost({...fast, load: 0.2}) < slowCost);
	assert.ok(computeHostCost({...fast, load: 1.2}) > slowCost);
});

test('with room enough the less loaded host is chosen', () => {
	const objectiveMs = 2000;
	const a = computeHostCost({...fast, objectiveMs, load: 0.6});
	const b = computeHostCost({...slow, objectiveMs, load: 0.3});
	assert.ok(b < a);
});

test('where all are late, the sooner answer is cheaper', () => {
	const a = computeHostCost({...slow, load: 3});
	const b = computeHostCost({...slow, load: 4});
	assert.ok(a > 1 && b > a);
});

test('a slow host is chosen before a fast one whose rate limit makes the request late', () => {
	const slowCost = computeHostCost({...slow, load: 0.2});
	const soon = computeHostCost({...fast, load: 0.2, rateLimitWaitMs: 10});
	const late = computeHostCost({...fast, load: 0.2, rateLimitWaitMs: 200});
	assert.ok(soon < slowCost && slowCost < late);
});
