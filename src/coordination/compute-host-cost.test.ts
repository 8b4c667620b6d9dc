import assert from 'node:assert/strict';
import test from 'node:test';
import {computeHostCost} from './compute-host-cost.js';

const fast = {requestMs: 60, serviceMs: 60, objectiveMs: 200};
const slow = {requestMs: 120, serviceMs: 120, objectiveMs: 200};

test('an idle slow host costs less than a full fast one', () => {
	const slowCost = computeHostCost({...slow, load: 0.2});
	assert.ok(computeHostCost({...fast, load: 0.2}) < slowCost);
	assert.ok(computeHostCost({...fast, load: 1.2}) > slowCost);
});

test('with enough slack the less loaded host costs less', () => {
	const objectiveMs = 2000;
	const a = computeHostCost({...fast, objectiveMs, load: 0.6});
	const b = computeHostCost({...slow, objectiveMs, load: 0.3});
	assert.ok(b < a);
});

test('among late answers the earlier one costs less', () => {
	const a = computeHostCost({...slow, load: 3});
	const b = computeHostCost({...slow, load: 4});
	assert.ok(a > 1 && b > a);
});

test('a slow host costs less than a fast one whose rate limit makes the request late', () => {
	const slowCost = computeHostCost({...slow, load: 0.2});
	const soon = computeHostCost({...fast, load: 0.2, rateLimitWaitMs: 10});
	const late = computeHostCost({...fast, load: 0.2, rateLimitWaitMs: 200});
	assert.ok(soon < slowCost && slowCost < late);
});
