/**
 * Reads the system or library code of an error.
 *
 * @param error - anything that was thrown
 * @returns the code, or an empty string when there is none
 */
export function readErrorCode(error: unknown): string {
	return error instanceof Error && 'code' in error ? String(error.code) : '';
}
