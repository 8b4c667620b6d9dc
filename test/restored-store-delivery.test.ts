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

const variants: ReadonlyArray<Partial<StoreRestoreOptions>> = [
	{},
	{restoresTwice: true},
	{compacts: true},
	{refusal: 'refused'},
	{refusal: 'silent'},
	{startsNodes: true},
];

for (const namesEra of [true, false]) {
	for (const moment of ['at rest', 'after a change'] as const) {
		const era = namesEra ? 'names its era' : 'names no era';
		test(`a store that ${era} and comes back ${moment} hides no version`, () => {
			for (const variant of variants) {
				for (const seed of seeds) {
					const options = {
						...variant,
						seed,
						rounds,
						namesEra,
						moment,
						maxAwayMs: 300,
					};
					const {slowestMs, missed, backward} = runStoreRestores(options);
					const isLate = slowestMs > maxApplyMs;
					assert.deepEqual(
						{missed, backward, isLate},
						{missed: 0, backward: 0, isLate: false},
						`${Math.round(slowestMs)} ms with ${JSON.stringify(options)}`,
					);
				}
			}
		});
	}
}
