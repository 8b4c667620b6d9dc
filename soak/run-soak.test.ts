import assert from 'node:assert/strict';
import test from 'node:test';
import {runSoak} from './run-soak.js';

/** Seeds of the short run. */
const seeds = [2, 6];

for (const seed of seeds) {
	test(`real nodes under disturbances break no promise, seed ${seed}`, async () => {
		const {problems, logFolder} = await runSoak({
			seed,
			hosts: 4,
			durationMs: 12_000,
			network: `95.${seed}`,
		});
		assert.deepEqual(problems, [], `logs in ${logFolder}`);
	});
}

test('no stopping node gives up a request at which an upstream with an inexact load report is at work', async () => {
	const {problems, logFolder} = await runSoak({
		seed: 5001,
		profile: 'planned',
		hosts: 6,
		durationMs: 12_000,
		network: '95.11',
	});
	assert.deepEqual(problems, [], `logs in ${logFolder}`);
});
