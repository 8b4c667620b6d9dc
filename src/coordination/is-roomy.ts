import type {HostRecord} from './step-host-record.js';

/**
 * Tells whether a host may have room for a request: it can be reached, and has
 * not just refused one of the same route for want of room.
 *
 * @param record - what is known of the host
 * @param route - name of the request's route, if it has one
 * @param now - monotonic ms
 * @returns true when it may
 * @example
 * isRoomy(undefined, 'prices', 0); // true
 */
export function isRoomy(
	record: HostRecord | undefined,
	route: string | undefined,
	now: number,
): boolean {
	return (
		record === undefined ||
		(record.ejectedUntil <= now &&
			(record.fullUntil?.get(route ?? '') ?? 0) <= now)
	);
}
