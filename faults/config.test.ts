import assert from 'node:assert/strict';
import test from 'node:test';
import type {Fault, Step, Variant} from './_lib/config/config-simulation.js';
import {runConfigSimulation} from './_lib/config/run-config-simulation.js';

type MechanismCase = {
	readonly mechanism: string;
	readonly faults: readonly Fault[];
	readonly step: Step;
	readonly seeds: readonly number[];
	readonly naive: Variant;
	readonly violation: RegExp;
};

const mechanismCases: readonly MechanismCase[] = [
	{
		mechanism: 'conditional writes of the log',
		faults: ['frozen', 'concurrent-operators'],
		step: 'create',
		seeds: [1, 2, 3],
		naive: {ignoresConditions: true},
		violation: /differs from the log|does not follow/v,
	},
	{
		mechanism: 'reading back a write whose answer was lost',
		faults: ['answer-lost', 'platform-down'],
		step: 'create',
		seeds: [1, 2, 3, 4, 5, 6],
		naive: {
			changeOutcome: (call, outcome) =>
				call.kind === 'write' && outcome.kind === 'unknown'
					? {kind: 'unavailable'}
					: outcome,
		},
		violation: /was reported unavailable but is in the log/v,
	},
	{
		mechanism: 'periodic reads of the next log slot in addition to the watch',
		faults: ['watch-stalled'],
		step: 'root-read',
		seeds: [1, 2, 3],
		naive: {delivery: {probeIntervalMs: Number.POSITIVE_INFINITY}},
		violation: /ends at version/v,
	},
	{
		mechanism: 'the required number of holders before a version is run',
		faults: ['data-centre-killed', 'platform-down'],
		step: 'apply',
		seeds: [109, 120, 122],
		naive: {delivery: {requiredHolders: 0}},
		violation: /reverted from/v,
	},
	{
		mechanism: 'the delay before the first version is run after a start',
		faults: ['data-centre-killed', 'platform-down'],
		step: 'apply',
		seeds: [168],
		naive: {delivery: {settleMs: 0}},
		violation: /reverted from/v,
	},
];

for (const mechanismCase of mechanismCases) {
	test(`the matrix fails without ${mechanismCase.mechanism}`, () => {
		const {faults, step, naive, violation} = mechanismCase;
		const runAll = (variant?: Variant) =>
			mechanismCase.seeds.flatMap((seed) =>
				runConfigSimulation({faults, step, seed, variant}),
			);
		assert.deepEqual(runAll(), []);
		assert.match(runAll(naive).join('\n'), violation);
	});
}
