import assert from 'node:assert/strict';
import test from 'node:test';
import {simulatePolicy, type Scenario} from './simulate-policy.js';

const overload: Scenario = {
	name: 'overload',
	share: 3,
	oneHost: 'healthy',
	seconds: 0.3,
};
const chosen = {
	name: 'chosen',
	pick: 'chosen',
	hasBudget: true,
	hasAdmission: true,
} as const;

test('gives the same figures for the same seed', () => {
	assert.deepEqual(
		simulatePolicy(chosen, overload, 5),
		simulatePolicy(chosen, overload, 5),
	);
	assert.notDeepEqual(
		simulatePolicy(chosen, overload, 5),
		simulatePolicy(chosen, overload, 6),
	);
});

test('wastes no runs under overload with admission at the gate', () => {
	const naive = {...chosen, pick: 'random', hasAdmission: false} as const;
	const long = {...overload, seconds: 1};
	assert.equal(simulatePolicy(chosen, long, 1).wasted, 0);
	assert.ok(simulatePolicy(naive, long, 1).wasted > 0.3);
});
