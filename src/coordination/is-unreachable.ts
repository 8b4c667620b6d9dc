import {silentAfterMs} from '../protocol/constants.js';
import type {HostRecord} from './step-host-record.js';

/**
 * Tells whether a host seems to be out of reach: it could not be connected to,
 * or has been silent for too long while something of this node is in flight.
 *
 * Answers the load of a partition and of a frozen host. Open connections to it
 * don't fail, so that each request which goes there is lost until its deadline;
 * a gate that lives gives signs of life, however long its upstream takes.
 *
 * @param record - what is known of the host
 * @param now - monotonic ms
 * @returns true when it seems to be out of reach
 * @example
 * isOutOfReach(undefined, 0); // false
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
		silentSince !== undefined && now - silentSince > silentAfterMs;
	return isBackingOff || isSilent;
}
