/**
 * Computes the median of some numbers.
 *
 * @param values - the numbers, in any order
 * @returns the lower median, or 0 when there are none
 */
export function computeMedian(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
