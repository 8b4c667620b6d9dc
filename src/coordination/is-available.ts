import {isKnownFull} from './is-known-full.js';
import {isUnreachable} from './is-unreachable.js';
import type {HostRecord} from './step-host-record.js';

/**
 * Tells whether a host may have room for a request: it can be reached, and has
 * not just refused such a request for want of room.
 *
 * @param record - what is known of the host
 * @param admissionClass - names requests that hosts admit alike
 * @param now - monotonic ms
 * @returns true when it may be able to
 * @example
 * isAvailable(undefined, 'prices aged', 0); // true
 */
export function isAvailable(
	record: HostRecord | undefined,
	admissionClass: string | undefined,
	now: number,
): boolean {
	return (
		record === undefined ||
		(record.ejectedUntil <= now &&
			!isUnreachable(record, now) &&
			!isKnownFull(record, admissionClass, now))
	);
}
