import assert from 'node:assert/strict';
import test from 'node:test';
import type {Fault, Step, Variant} from './_lib/config/config-simulation.js';
import {runConfigSimulation} from './_lib/config/run-config-simulation.js';

type Proof = {
	readonly mechanism: string;
	readonly faults: readonly Fault[];
	readonly step: Step;
	readonly seeds: readonly number[];
	readonly naive: Variant;
	readonly violation: RegExp;
};

const proofs: readonly Proof[] = [
	{
		mechanism: 'conditional writes of the log',
		faults: ['frozen', 'concurrent-operators'],
		step: 'create',
		seeds: [1, 2, 3],
		naive: {ignoresConditions: true},
		violation: /of its own|does not follow/v,
	},
	{
		mechanism: 'reading a lost answer back',
		faults: ['answer-lost', 'platform-down'],
		step: 'create',
		seeds: [1, 2, 3, 4, 5, 6],
		naive: {
			changeOutcome: (call, outcome) =>
				call.kind === 'write' && outcome.kind === 'unknown'
					? {kind: 'unavailable'}
					: outcome,
		},
		violation: /was called not accepted and is/v,
	},
	{
		mechanism: 'reads of the next slot beside the watch',
		faults: ['watch-stalled'],
		step: 'root-read',
		seeds: [1, 2, 3],
		naive: {delivery: {probeIntervalMs: Number.POSITIVE_INFINITY}},
		violation: /ends with/v,
	},
	{
		mechanism: 'other holders before a version is run',
		faults: ['data-centre-killed', 'platform-down'],
		step: 'apply',
		seeds: [109, 120, 122],
		naive: {delivery: {requiredHolders: 0}},
		violation: /moved back/v,
	},
	{
		mechanism: 'the wait before a first version is run',
		faults: ['data-centre-killed', 'platform-down'],
		step: 'apply',
		seeds: [168],
		naive: {delivery: {settleMs: 0}},
		violation: /moved back/v,
	},
];

for (const proof of proofs) {
	test(`the matrix fails without ${proof.mechanism}`, () => {
		const {faults, step, naive, violation} = proof;
		const runAll = (variant?: Variant) =>
			proof.seeds.flatMap((seed) =>
				runConfigSimulation({faults, step, seed, variant}),
			);
		assert.deepEqual(runAll(), []);
		assert.match(runAll(naive).join('\n'), violation);
	});
}
