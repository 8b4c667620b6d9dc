/**
 * Replays of load shedding. The bounds are those of docs/TENANTS-AND-LOAD.md.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {sheddingScenarios} from './shedding-scenarios.js';
import {simulateShedding} from './simulate-shedding.js';

const seed = 1;

/** Highest share of the runs that may be lost to their calls. */
const maxLostRuns = 0.02;

/** Lowest share of a kind's requests that are served, as a ratio of that of all. */
const minShareRatio = 0.25;

for (const scenario of sheddingScenarios) {
	const {name, kinds} = scenario;
	const result = simulateShedding(scenario, 'after', seed);
	if (kinds.some(({calls}) => calls)) {
		test(`shedding, ${name}: begun runs are not lost to their calls`, () => {
			const before = simulateShedding(scenario, 'before', seed);
			const text = `${result.lostRuns}, before ${before.lostRuns}`;
			assert.ok(result.lostRuns <= maxLostRuns, text);
			assert.ok(result.lostRuns < before.lostRuns, text);
		});
	}

	test(`shedding, ${name}: no kind is served less than a quarter as often as all`, () => {
		for (const [kind, {served}] of result.byKind) {
			const text = `${kind} ${served}, all ${result.served}`;
			assert.ok(served >= result.served * minShareRatio, text);
		}
	});
}
