/**
 * Tests of the delivery of a configuration whose store comes back from older
 * copies of itself, simulated.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {
	runStoreRestores,
	type StoreRestoreOptions,
} from '../harness/run-store-restores.js';

/** Longest time from the acknowledgement of a version until it is in force, ms. */
const maxApplyMs = 2000;

const seeds = [1, 2, 3, 4];
const rounds = 5;

/** Longest times for which the store is away, ms; within the shortest, no watch is cut. */
const awayMs = [0, 5, 300];

const variants: ReadonlyArray<Partial<StoreRestoreOptions>> = [
	{},
	{restoresTwice: true},
	{compacts: true},
	{refusal: 'refused'},
	{refusal: 'silent'},
	{startsNodes: true},
];

/** Runs every variant with every seed, and lists those in which a version was late, missed or rolled back. */
function listFailures(
	common: Pick<StoreRestoreOptions, 'namesEra' | 'moment' | 'maxAwayMs'>,
): readonly string[] {
	const failures: string[] = [];
	for (const variant of variants) {
		for (const seed of seeds) {
			const options = {...common, ...variant, seed, rounds};
			const run = runStoreRestores(options);
			if (run.slowestMs > maxApplyMs || run.missed > 0 || run.backward > 0) {
				failures.push(`${JSON.stringify(options)}: ${JSON.stringify(run)}`);
			}
		}
	}

	return failures;
}

for (const namesEra of [true, false]) {
	for (const moment of ['at rest', 'after a change'] as const) {
		const era = namesEra ? 'names its era' : 'names no era';
		test(`a store that ${era} and comes back ${moment} hides no version`, () => {
			const failures = awayMs.flatMap((maxAwayMs) =>
				listFailures({namesEra, moment, maxAwayMs}),
			);
			assert.deepEqual(failures, []);
		});
	}
}

/** By how much a store that turns some nodes away may delay a version, ms. */
const maxStretchMs = 5000;

const roots = ['abdali-1', 'abdali-2', 'sweifieh-2', 'sweifieh-3'];

for (const refusal of ['refused', 'silent'] as const) {
	for (const refusedNames of [roots.slice(0, 2), roots.slice(0, 3), roots]) {
		test(`a version that the store shows only to the nodes besides ${refusedNames.join(', ')} (${refusal}) reaches all`, () => {
			for (const seed of seeds) {
				const {slowestMs} = runStoreRestores({
					seed,
					rounds,
					moment: 'never',
					namesEra: true,
					maxAwayMs: 0,
					refusal,
					refusedNames,
				});
				assert.ok(
					slowestMs <= maxApplyMs + maxStretchMs,
					`seed ${seed}: ${slowestMs} ms`,
				);
			}
		});
	}
}
