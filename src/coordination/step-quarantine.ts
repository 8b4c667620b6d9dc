import {msPerMinute} from '../protocol/constants.js';
import type {EncodedCrashRecord} from '../protocol/crash-record.js';
import {removeExcessRecords} from './_lib/quarantine/remove-excess-records.js';
import {
	mergeRecord,
	noVersions,
	type RecordChange,
} from './_lib/quarantine/merge-record.js';
import {computeQuarantineTime} from './compute-quarantine-time.js';
import {decideSuspicion} from './decide-suspicion.js';
import {listOpenCrashes} from './list-open-crashes.js';
import type {
	CrashRecord,
	QuarantineMessage,
	QuarantineState,
	QuarantineStep,
	VersionStatus,
} from './quarantine-state.js';

/** Shortest time after its last crash for which a record is kept, ms. */
const minRetentionMs = msPerMinute;

/** Ratio of the time of a quarantine for which its record is kept; it lasts up to twice its time, and a request that comes later is still known. */
const retentionRatio = 4;

type Random = () => number;

function isExpired(record: CrashRecord, now: number): boolean {
	const lastAt = Math.max(...[...record.crashes.values()].map(({at}) => at));
	const quarantineMs = computeQuarantineTime(listOpenCrashes(record).length);
	return now - lastAt > Math.max(minRetentionMs, retentionRatio * quarantineMs);
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

	removeExcessRecords(records);
	return {state: records, changed};
}

/** Clears the crashes that the answer of an upstream disproves; those of other software versions stay. */
function completeRequest(
	state: QuarantineState,
	{fingerprint, version}: QuarantineMessage & {readonly kind: 'completed'},
	random: Random,
): QuarantineStep {
	const record = state.get(fingerprint);
	if (!record || listOpenCrashes(record).length === 0) {
		return {state, changed: []};
	}

	const crashes = new Map(
		[...record.crashes].map(([id, crash]) => {
			const isOther =
				version !== undefined &&
				crash.version !== undefined &&
				crash.version !== version;
			return [id, {...crash, isCleared: crash.isCleared || !isOther}];
		}),
	);
	const hasOthers = [...crashes.values()].some(({isCleared}) => !isCleared);
	const versions: ReadonlyMap<string, VersionStatus> =
		version !== undefined && hasOthers
			? new Map([[version, 'answered']])
			: noVersions;
	return applyRecords(state, [
		mergeRecord(record, record, {crashes, versions}, random),
	]);
}

/** Lets upstreams of a software version run the quarantined requests under which only others have crashed. */
function announceVersion(
	state: QuarantineState,
	{service, version}: QuarantineMessage & {readonly kind: 'announced'},
	now: number,
	random: Random,
): QuarantineStep {
	const versions = new Map([[version, 'announced' as const]]);
	const held = [...state.values()].filter(
		(record) =>
			record.service === service &&
			!record.versions.has(version) &&
			// A crash of a version that is not known may have been one of this version.
			[...record.crashes.values()].every(
				(crash) => crash.version !== undefined && crash.version !== version,
			) &&
			decideSuspicion(record, now, version).kind === 'quarantined',
	);
	return applyRecords(
		state,
		held.map((record) =>
			mergeRecord(record, record, {crashes: record.crashes, versions}, random),
		),
	);
}

function receiveRecord(
	state: QuarantineState,
	{fingerprint, service, crashes, versions = []}: EncodedCrashRecord,
	now: number,
	random: Random,
): CrashRecord | undefined {
	const known = state.get(fingerprint);
	const received: RecordChange = {
		crashes: new Map(
			crashes.map(({id, ageMs, isCleared, version}) => [
				id,
				{at: now - ageMs, isCleared, version},
			]),
		),
		versions: new Map(versions.map(({version, status}) => [version, status])),
	};
	const merged = mergeRecord(known, {fingerprint, service}, received, random);
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
			const {id, version} = message;
			const change: RecordChange = {
				crashes: new Map([[id, {at: now, isCleared: false, version}]]),
				versions: noVersions,
			};
			return applyRecords(
				state,
				message.running.map((request) =>
					mergeRecord(state.get(request.fingerprint), request, change, random),
				),
			);
		}

		case 'completed': {
			return completeRequest(state, message, random);
		}

		case 'announced': {
			return announceVersion(state, message, now, random);
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
