/**
 * Computes the median of a list of numbers.
 *
 * @param values - the numbers, in any order
 * @returns the median (the lower of two middle values), or 0 for an empty list
 */
export function computeMedian(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
