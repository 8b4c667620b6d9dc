/** Prefix of the keys of log entries in the platform. */
export const logPrefix = 'config/log/';

/**
 * Formats the platform key of a log entry, so that keys sort by version.
 *
 * @param version - version of the entry
 * @returns the key
 */
export function formatLogKey(version: number): string {
	return `${logPrefix}${String(version).padStart(12, '0')}`;
}
