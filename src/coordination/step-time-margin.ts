/** Target share of answers that arrive within the expected time plus the margin. */
const onTimeQuantile = 0.8;

/** Step of the margin, as a ratio of the expected time; large enough to follow a change of load within a few answers. */
const marginStepRatio = 0.1;

/** Largest margin, as a ratio of the expected time; no server exceeds it for long. */
const maxMarginRatio = 3;

/** Expected and actual time of one answer. */
export type TimedAnswer = {
	/** Expected time at the upstream, excluding the wait, ms. */
	readonly serviceMs: number;
	/** Expected time including the wait, ms. */
	readonly expectedMs: number;
	/** Actual time including the wait, ms. */
	readonly actualMs: number;
};

/**
 * Advances the margin by which answers come later than expected, as a ratio of
 * the expected time at the upstream: an online quantile estimate.
 *
 * Load pattern: load above the capacity of an upstream. The queue is then as long
 * as admission allows, so that each error of the expected wait (answers that take
 * longer, high-priority requests that overtake) makes all requests late that were
 * admitted with just enough time.
 *
 * @param before - the margin before
 * @param answer - see `TimedAnswer`
 * @returns the margin after
 * @example
 * stepTimeMargin(0.4, {serviceMs: 50, expectedMs: 90, actualMs: 150}); // 0.48
 */
export function stepTimeMargin(before: number, answer: TimedAnswer): number {
	const {serviceMs, expectedMs, actualMs} = answer;
	if (serviceMs <= 0) {
		return before;
	}

	const isLater = actualMs > expectedMs + before * serviceMs;
	const change =
		marginStepRatio * (isLater ? onTimeQuantile : onTimeQuantile - 1);
	return Math.min(maxMarginRatio, Math.max(0, before + change));
}
