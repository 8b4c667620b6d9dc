import {listOpenCrashes} from './list-open-crashes.js';
import type {CrashRecord} from './quarantine-state.js';

/**
 * Lists crash records by the number of crashes, most first, so that those about
 * quarantined requests are passed on first; those with equally many at random.
 *
 * @param records - the records
 * @param random - source of random numbers from 0 up to 1
 * @returns the records in order
 * @example
 * listBySeverity([], Math.random); // []
 */
export function listBySeverity(
	records: Iterable<CrashRecord>,
	random: () => number,
): readonly CrashRecord[] {
	return [...records]
		.map((record) => ({
			record,
			rank: listOpenCrashes(record).length + random(),
		}))
		.toSorted((one, other) => other.rank - one.rank)
		.map(({record}) => record);
}
