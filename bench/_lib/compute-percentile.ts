/**
 * Computes a percentile by the nearest rank.
 *
 * @param values - the values, in any order
 * @param percentile - 0 to 100
 * @returns the value at that rank, 0 when there are none
 * @example
 * computePercentile([3, 1, 2], 50); // 2
 */
export function computePercentile(
	values: readonly number[],
	percentile: number,
): number {
	const sorted = values.toSorted((a, b) => a - b);
	const rank = Math.ceil((percentile / 100) * sorted.length);
	return sorted[Math.max(0, rank - 1)] ?? 0;
}
