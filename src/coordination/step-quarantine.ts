import {
	maxCrashesPerRecord,
	maxCrashRecords,
	msPerMinute,
} from '../protocol/constants.js';
import type {EncodedCrashRecord} from '../protocol/crash-record.js';
import {computeQuarantineTime} from './compute-quarantine-time.js';
import {listOpenCrashes} from './list-open-crashes.js';
import type {
	Crash,
	CrashRecord,
	QuarantineMessage,
	QuarantineState,
	QuarantineStep,
	RunningRequest,
} from './quarantine-state.js';

/** Shortest time after its last crash for which a record is kept, ms. */
const minRetentionMs = msPerMinute;

/** Ratio of the time of a quarantine for which its record is kept; it lasts up to twice its time, and a request that comes later is still known. */
const retentionRatio = 4;

/** Ratio of the maximum number of records that is kept when there are too many. */
const keptRatio = 7 / 8;

type Random = () => number;

/** Keeps the newest crashes of a record. */
function limitCrashes(
	crashes: ReadonlyMap<string, Crash>,
): ReadonlyMap<string, Crash> {
	if (crashes.size <= maxCrashesPerRecord) {
		return crashes;
	}

	const newestFirst = [...crashes].toSorted(
		([, {at}], [, {at: otherAt}]) => otherAt - at,
	);
	return new Map(newestFirst.slice(0, maxCrashesPerRecord));
}

function isExpired(record: CrashRecord, now: number): boolean {
	const lastAt = Math.max(...[...record.crashes.values()].map(({at}) => at));
	const quarantineMs = computeQuarantineTime(listOpenCrashes(record).length);
	return now - lastAt > Math.max(minRetentionMs, retentionRatio * quarantineMs);
}

/** Merges crashes into a record; returns undefined when they change nothing. */
function mergeCrashes(
	record: CrashRecord | undefined,
	{fingerprint, service}: RunningRequest,
	crashes: ReadonlyMap<string, Crash>,
	random: Random,
): CrashRecord | undefined {
	const merged = new Map(record?.crashes);
	for (const [id, crash] of crashes) {
		const known = merged.get(id) ?? crash;
		merged.set(id, {
			at: known.at,
			isCleared: [known, crash].some(({isCleared}) => isCleared),
		});
	}

	const limited = limitCrashes(merged);
	const isChanged = [...limited].some(
		([id, {isCleared}]) => record?.crashes.get(id)?.isCleared !== isCleared,
	);
	return isChanged
		? {
				fingerprint,
				service,
				crashes: limited,
				jitter: record?.jitter ?? random(),
			}
		: undefined;
}

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
function evictRecords(records: Map<string, CrashRecord>): void {
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

function applyRecords(
	state: QuarantineState,
	merged: ReadonlyArray<CrashRecord | undefined>,
): QuarantineStep {
	const changed = merged.filter((record) => record !== undefined);
	if (changed.length === 0) {
		return {state, changed};
	}

	const records = new Map(state);
	for (const record of changed) {
		records.set(record.fingerprint, record);
	}

	evictRecords(records);
	return {state: records, changed};
}

function completeRequest(
	state: QuarantineState,
	fingerprint: string,
): QuarantineStep {
	const record = state.get(fingerprint);
	if (!record || listOpenCrashes(record).length === 0) {
		return {state, changed: []};
	}

	const crashes = new Map(
		[...record.crashes].map(([id, crash]) => [id, {...crash, isCleared: true}]),
	);
	return applyRecords(state, [{...record, crashes}]);
}

function receiveRecord(
	state: QuarantineState,
	{fingerprint, service, crashes}: EncodedCrashRecord,
	now: number,
	random: Random,
): CrashRecord | undefined {
	const known = state.get(fingerprint);
	const received = new Map(
		crashes.map(({id, ageMs, isCleared}) => [id, {at: now - ageMs, isCleared}]),
	);
	const merged = mergeCrashes(known, {fingerprint, service}, received, random);
	const isForgotten = merged && !known && isExpired(merged, now);
	return isForgotten ? undefined : merged;
}

/**
 * Advances what a node knows about crashing requests by one message.
 *
 * Records are merged whatever their order: crashes add up, and one that is
 * cleared stays so. Who receives a change passes it on, so that all nodes that
 * reach each other come to know the same.
 *
 * @param state - the state before; not modified
 * @param message - the message to handle
 * @param now - monotonic ms
 * @param random - source of random numbers from 0 up to 1
 * @returns the state after and the changed records, to be passed on
 * @example
 * stepQuarantine(new Map(), {kind: 'tick'}, 0, Math.random).changed; // []
 */
export function stepQuarantine(
	state: QuarantineState,
	message: QuarantineMessage,
	now: number,
	random: () => number,
): QuarantineStep {
	switch (message.kind) {
		case 'crashed': {
			const crashes = new Map([[message.id, {at: now, isCleared: false}]]);
			return applyRecords(
				state,
				message.running.map((request) =>
					mergeCrashes(
						state.get(request.fingerprint),
						request,
						crashes,
						random,
					),
				),
			);
		}

		case 'completed': {
			return completeRequest(state, message.fingerprint);
		}

		case 'received': {
			return applyRecords(
				state,
				message.records.map((record) =>
					receiveRecord(state, record, now, random),
				),
			);
		}

		case 'tick': {
			const kept = [...state].filter(([, record]) => !isExpired(record, now));
			return {
				state: kept.length === state.size ? state : new Map(kept),
				changed: [],
			};
		}
	}
}
