/** Value of a label in place of all values beyond the limit. */
const otherValue = 'other';

/**
 * Creates a limit on the number of values of a metric's label, each of which
 * stays in memory until the process ends.
 *
 * @param maxValues - number of values that are kept
 * @returns a function that returns a value, or `other` in place of one beyond the limit
 */
export function createLabelLimit(maxValues: number): (value: string) => string {
	const known = new Set<string>();
	return (value) => {
		if (!known.has(value) && known.size >= maxValues) {
			return otherValue;
		}

		known.add(value);
		return value;
	};
}
