import {maxCrashRecords} from '../../../protocol/constants.js';
import {listOpenCrashes} from '../../list-open-crashes.js';
import type {CrashRecord} from '../../quarantine-state.js';

/** Ratio of the maximum number of records that is kept when there are too many. */
const keptRatio = 7 / 8;

function groupByService(
	records: Iterable<CrashRecord>,
): ReadonlyMap<string, readonly CrashRecord[]> {
	const groups = new Map<string, CrashRecord[]>();
	for (const record of records) {
		const group = groups.get(record.service);
		if (group) {
			group.push(record);
		} else {
			groups.set(record.service, [record]);
		}
	}

	return groups;
}

function findLargest(groups: readonly CrashRecord[][]): CrashRecord[] {
	let [largest = []] = groups;
	for (const group of groups) {
		largest = group.length > largest.length ? group : largest;
	}

	return largest;
}

/**
 * Makes space when there are too many records: removes the least suspect ones,
 * the oldest first, of the service that has most, so that requests of one service
 * never displace the records of others.
 */
export function removeExcessRecords(records: Map<string, CrashRecord>): void {
	if (records.size <= maxCrashRecords) {
		return;
	}

	const groups = [...groupByService(records.values()).values()].map((group) =>
		group
			.toReversed()
			.toSorted(
				(one, other) =>
					listOpenCrashes(other).length - listOpenCrashes(one).length,
			),
	);
	// Space for many, so that an attack does not sort the records again for each.
	while (records.size > maxCrashRecords * keptRatio) {
		const record = findLargest(groups).pop()!;
		records.delete(record.fingerprint);
	}
}
