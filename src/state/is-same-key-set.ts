/**
 * Tells whether two maps have the same keys.
 *
 * @param a - one map
 * @param b - the other map
 * @returns whether each key of one is a key of the other
 * @example
 * isSameKeySet(new Map([['a', 1]]), new Map([['a', 2]])); // true
 */
export function isSameKeySet<Key>(
	a: ReadonlyMap<Key, unknown>,
	b: ReadonlyMap<Key, unknown>,
): boolean {
	return a.size === b.size && [...a.keys()].every((key) => b.has(key));
}
