import assert from 'node:assert/strict';
import test from 'node:test';
import {computeTransitTime} from './compute-transit-time.js';

test('the transit time is the larger of age and lag', () => {
	assert.equal(computeTransitTime({createdAtGateMs: 1000}, 7000), 6000);
	assert.equal(
		computeTransitTime({createdAtGateMs: 1000, unreadMs: 80}, 1002),
		80,
	);
	assert.equal(computeTransitTime({unreadMs: 80}, 1002), 80);
});

test('the transit time is 0 if the gate clock is before the creation time', () => {
	assert.equal(computeTransitTime({createdAtGateMs: 4000}, 1000), 0);
});
