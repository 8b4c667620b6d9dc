import {hostSilenceTimeoutMs} from '../protocol/constants.js';
import type {HostRecord} from './step-host-record.js';

/**
 * Tells whether a host seems unreachable: connecting to it has failed, or it has
 * been silent for too long while attempts of this node are in flight.
 *
 * Load pattern: a network partition or a frozen host. Open connections to the
 * host do not fail, so that each request sent there is blocked until its
 * deadline. A live gate sends keepalives, however long its upstream takes.
 *
 * @param record - the record of the host, undefined when there is none
 * @param now - monotonic ms
 * @returns true when it seems unreachable
 * @example
 * isUnreachable(undefined, 0); // false
 */
export function isUnreachable(
	record: HostRecord | undefined,
	now: number,
): boolean {
	if (!record) {
		return false;
	}

	const {silentSince, unreachable = 0} = record;
	const isBackingOff = unreachable > 0 && record.ejectedUntil > now;
	const isSilent =
		silentSince !== undefined && now - silentSince > hostSilenceTimeoutMs;
	return isBackingOff || isSilent;
}
