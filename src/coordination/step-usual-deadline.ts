/** Usual deadline of the recent first requests of a route. */
export type UsualDeadline = {
	/** Current candidate for the usual deadline, ms. */
	readonly deadlineMs: number;
	/** Number of requests with this deadline minus those with others. */
	readonly votes: number;
};

/** Maximum number of votes; a new usual deadline is found within about as many requests. */
const maxVotes = 50;

/**
 * Updates the usual deadline of a route's first requests with one request.
 *
 * Uses a majority vote (Boyer and Moore, 1981): first requests share one
 * deadline, while retries by clients each have a different, shorter one.
 *
 * @param before - the usual deadline before, undefined when not known
 * @param deadlineMs - deadline of a request, ms
 * @returns the usual deadline after
 * @example
 * stepUsualDeadline(undefined, 1200).deadlineMs; // 1200
 */
export function stepUsualDeadline(
	before: UsualDeadline | undefined,
	deadlineMs: number,
): UsualDeadline {
	if (!before || before.votes === 0) {
		return {deadlineMs, votes: 1};
	}

	return before.deadlineMs === deadlineMs
		? {deadlineMs, votes: Math.min(maxVotes, before.votes + 1)}
		: {...before, votes: before.votes - 1};
}
