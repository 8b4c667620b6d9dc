import {maxCrashAgeMs} from '../protocol/constants.js';
import type {EncodedCrashRecord} from '../protocol/crash-record.js';
import type {CrashRecord} from './quarantine-state.js';

/**
 * Encodes a record for other nodes, whose clocks differ.
 *
 * @param record - the record
 * @param now - monotonic ms
 * @returns the record with ages in place of times
 * @example
 * encodeCrashRecord(record, performance.now());
 */
export function encodeCrashRecord(
	{fingerprint, service, crashes, versions}: CrashRecord,
	now: number,
): EncodedCrashRecord {
	return {
		fingerprint,
		service,
		crashes: [...crashes].map(([id, {at, isCleared, version}]) => ({
			id,
			ageMs: Math.min(maxCrashAgeMs, Math.max(0, Math.round(now - at))),
			isCleared,
			...(version !== undefined && {version}),
		})),
		...(versions.size > 0 && {
			versions: [...versions].map(([version, status]) => ({version, status})),
		}),
	};
}
