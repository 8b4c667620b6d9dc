import type {HostRecord} from './step-host-record.js';

/**
 * Tells whether a host has just refused such a request for want of room.
 *
 * @param record - what is known of the host
 * @param admissionClass - names requests that hosts admit alike
 * @param now - monotonic ms
 * @returns true when it has
 * @example
 * isKnownFull(undefined, 'prices aged', 0); // false
 */
export function isKnownFull(
	record: HostRecord | undefined,
	admissionClass: string | undefined,
	now: number,
): boolean {
	return (record?.fullUntil?.get(admissionClass ?? '') ?? 0) > now;
}
