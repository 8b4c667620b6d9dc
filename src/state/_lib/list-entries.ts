/** Lists keys and values of an object; a value that is not an object gives no list. */
export function listEntries(
	value: unknown,
): ReadonlyArray<readonly [string, unknown]> | undefined {
	return typeof value === 'object' && value !== null && !Array.isArray(value)
		? Object.entries(value)
		: undefined;
}
