import {isKnownFull} from './is-known-full.js';
import {isUnreachable} from './is-unreachable.js';
import type {HostRecord} from './step-host-record.js';

/**
 * Tells whether a host may be able to take a request: it is reachable, not
 * ejected, and has not recently refused such a request for lack of capacity.
 *
 * @param record - the record of the host, undefined when there is none
 * @param admissionClass - class of requests that hosts admit or refuse alike
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
