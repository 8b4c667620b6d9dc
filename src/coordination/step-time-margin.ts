/** Part of the answers that are to come within the expected time and the margin. */
const onTimeQuantile = 0.8;

/** Change of the margin with one late answer, in parts of the expected time; a few answers are enough to follow a load that has changed. */
const marginStepRatio = 0.1;

/** Greatest margin, in parts of the expected time; no server scatters more for long. */
const maxMarginRatio = 3;

/** One answer, compared with what was expected of it. */
export type TimedAnswer = {
	/** Expected time at the upstream, without the wait, ms. */
	readonly serviceMs: number;
	/** Expected time with the wait, ms. */
	readonly expectedMs: number;
	/** Time that it took with the wait, ms. */
	readonly actualMs: number;
};

/**
 * Advances the margin by which answers come later than expected, in parts of
 * the expected time at the upstream: a quantile that follows the answers.
 *
 * Answers a load above what an upstream can serve. There the queue is as long
 * as admission lets it be, so that each error of the expected wait (answers that
 * take longer, urgent requests that overtake) makes all requests late that were
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
