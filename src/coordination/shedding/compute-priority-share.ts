/** Share of each priority's requests that may always be served, as a ratio of the share of all. */
const minShareRatio = 0.25;

/**
 * Computes the share of a priority's requests to admit when only a share of all
 * can be: higher priorities first, but each at least a quarter of the common
 * share.
 *
 * Load pattern: several kinds of runs whose calls compete for one called service;
 * with strict priority, the kind of the lowest one would get nothing.
 *
 * @param share - share of all requests to admit, 0 to 1
 * @param wanted - number of requests by priority; 0 is the highest priority
 * @param priority - the priority
 * @returns the share of its requests to admit, 0 to 1
 * @example
 * computePriorityShare(0.5, new Map([[0, 10], [1, 10]]), 0); // 0.875
 */
export function computePriorityShare(
	share: number,
	wanted: ReadonlyMap<number, number>,
	priority: number,
): number {
	const minShare = share * minShareRatio;
	const own = wanted.get(priority) ?? 0;
	let total = 0;
	let ahead = 0;
	for (const [other, count] of wanted) {
		total += count;
		ahead += other < priority ? count : 0;
	}

	if (own === 0) {
		return share;
	}

	const left = total * (share - minShare) - ahead * (1 - minShare);
	return Math.min(1, minShare + Math.max(0, left) / own);
}
