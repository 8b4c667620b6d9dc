import type {HostRecord} from './step-host-record.js';

/**
 * Tells whether a host has recently refused such a request for lack of capacity.
 *
 * @param record - the record of the host, undefined when there is none
 * @param admissionClass - class of requests that hosts admit or refuse alike
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
