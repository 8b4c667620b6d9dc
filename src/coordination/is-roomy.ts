import {isKnownFull} from './is-known-full.js';
import {isOutOfReach} from './is-out-of-reach.js';
import type {HostRecord} from './step-host-record.js';

/**
 * Tells whether a host may have room for a request: it can be reached, and has
 * not just refused such a request for want of room.
 *
 * @param record - what is known of the host
 * @param demand - names requests that hosts admit alike
 * @param now - monotonic ms
 * @returns true when it may
 * @example
 * isRoomy(undefined, 'prices aged', 0); // true
 */
export function isRoomy(
	record: HostRecord | undefined,
	demand: string | undefined,
	now: number,
): boolean {
	return (
		record === undefined ||
		(record.ejectedUntil <= now &&
			!isOutOfReach(record, now) &&
			!isKnownFull(record, demand, now))
	);
}
