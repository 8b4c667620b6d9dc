/**
 * Reads the code of a system or library error, for example `ECONNRESET`.
 *
 * @param error - any thrown value
 * @returns the code, or an empty string if there is none
 */
export function readErrorCode(error: unknown): string {
	return error instanceof Error && 'code' in error ? String(error.code) : '';
}
