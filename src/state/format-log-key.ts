import {logRingSize} from '../protocol/constants.js';

/** Prefix of the keys of log entries in the platform's store. */
export const logPrefix = 'log/';

/**
 * Formats the platform key of the log slot that holds a version.
 *
 * The log is a ring buffer: version `N` overwrites version `N - ringSize`.
 *
 * @param version - version of the entry
 * @param ringSize - number of slots
 * @returns the key
 * @example
 * formatLogKey(1); // 'log/0001'
 */
export function formatLogKey(version: number, ringSize = logRingSize): string {
	return `${logPrefix}${String(version % ringSize).padStart(4, '0')}`;
}
