import assert from 'node:assert/strict';
import test from 'node:test';
import {readUtilization} from './read-utilization.js';
import {stepUtilization, type Utilization} from './step-utilization.js';

test('steady work gives the utilization as a share of the slots', () => {
	let utilization: Utilization | undefined;
	for (let now = 0; now < 10_000; now += 10) {
		utilization = stepUtilization(utilization, 30, now);
	}

	const share = readUtilization(utilization, 6, 10_000);
	assert.ok(Math.abs(share - 0.5) < 0.02, String(share));
	assert.ok(readUtilization(utilization, 6, 15_000) < 0.01);
});
