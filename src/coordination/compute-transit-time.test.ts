import assert from 'node:assert/strict';
import test from 'node:test';
import {computeTransitTime} from './compute-transit-time.js';

test('the longer of age and lag counts', () => {
	assert.equal(computeTransitTime({madeAtGateMs: 1000}, 7000), 6000);
	assert.equal(
		computeTransitTime({madeAtGateMs: 1000, unreadMs: 80}, 1002),
		80,
	);
	assert.equal(computeTransitTime({unreadMs: 80}, 1002), 80);
});

test('a gate whose clock has stood still takes an attempt for a new one', () => {
	assert.equal(computeTransitTime({madeAtGateMs: 4000}, 1000), 0);
});
