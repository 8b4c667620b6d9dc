import assert from 'node:assert/strict';
import test from 'node:test';
import {computeTransitTime} from './compute-transit-time.js';

// A lag that the attempt had not met was taken off its time.
test('the transit time is the age, or else the longest wait', () => {
	assert.equal(computeTransitTime({createdAtGateMs: 1000}, 7000), 6000);
	assert.equal(
		computeTransitTime({createdAtGateMs: 1000, unreadMs: 80}, 1002),
		2,
	);
	assert.equal(computeTransitTime({unreadMs: 80}, 1002), 80);
});

test('the transit time is 0 if the gate clock is before the creation time', () => {
	assert.equal(computeTransitTime({createdAtGateMs: 4000}, 1000), 0);
});
