import assert from 'node:assert/strict';
import test from 'node:test';
import {computeOfferCost} from './compute-offer-cost.js';

const fast = {ownMs: 60, serviceMs: 60, objectiveMs: 200};
const slow = {ownMs: 120, serviceMs: 120, objectiveMs: 200};

test('a free slow host is chosen before a fast one that is full', () => {
	const slowCost = computeOfferCost({...slow, load: 0.2});
	assert.ok(computeOfferCost({...fast, load: 0.2}) < slowCost);
	assert.ok(computeOfferCost({...fast, load: 1.2}) > slowCost);
});

test('with room enough the less loaded host is chosen', () => {
	const objectiveMs = 2000;
	const a = computeOfferCost({...fast, objectiveMs, load: 0.6});
	const b = computeOfferCost({...slow, objectiveMs, load: 0.3});
	assert.ok(b < a);
});

test('where all are late, the sooner answer is cheaper', () => {
	const a = computeOfferCost({...slow, load: 3});
	const b = computeOfferCost({...slow, load: 4});
	assert.ok(a > 1 && b > a);
});

test('a slow host is chosen before a fast one whose rate limit makes the request late', () => {
	const slowCost = computeOfferCost({...slow, load: 0.2});
	const soon = computeOfferCost({...fast, load: 0.2, turnWaitMs: 10});
	const late = computeOfferCost({...fast, load: 0.2, turnWaitMs: 200});
	assert.ok(soon < slowCost && slowCost < late);
});
