import assert from 'node:assert/strict';
import test from 'node:test';
import {planDisturbances} from './plan-disturbances.js';

const options = {hosts: 5, durationMs: 20_000, meanGapMs: 700};

test('a seed gives the same plan each time, and another one another plan', () => {
	const plan = planDisturbances({...options, seed: 1});
	assert.deepEqual(planDisturbances({...options, seed: 1}), plan);
	assert.notDeepEqual(planDisturbances({...options, seed: 2}), plan);
});

test('some disturbances overlap', () => {
	const plan = planDisturbances({...options, seed: 1});
	assert.ok(
		plan.some(
			({at, durationMs}, index) =>
				(plan[index + 1]?.at ?? Infinity) < at + durationMs,
		),
	);
});
