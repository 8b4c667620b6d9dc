/** Work in progress and queued at an upstream. */
export type SlotWork = {
	readonly slots: number;
	/** Expected remaining time of each running request, ms. */
	readonly runningMs: readonly number[];
	/** Expected time of each request queued ahead, ms, in order. */
	readonly aheadMs: readonly number[];
};

/**
 * Computes how long a request will wait for a slot.
 *
 * Each queued request is assigned the slot that is expected to become free first.
 *
 * @param work - see `SlotWork`
 * @returns the expected wait, ms; 0 when a slot is free
 * @example
 * computeWaitMs({slots: 1, runningMs: [20], aheadMs: [30]}); // 50
 */
export function computeWaitMs({slots, runningMs, aheadMs}: SlotWork): number {
	const free = Array.from<number>({length: slots}).fill(0);
	for (const [index, remainingMs] of runningMs
		.toSorted((a, b) => a - b)
		.entries()) {
		free[index % slots]! += remainingMs;
	}

	for (const timeMs of aheadMs) {
		free[free.indexOf(Math.min(...free))]! += timeMs;
	}

	return Math.min(...free);
}
