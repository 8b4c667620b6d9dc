/** The deadlines that fresh requests of a route lately had. */
export type UsualDeadline = {
	/** The deadline that is believed to be the usual one, ms. */
	readonly deadlineMs: number;
	/** How often it was seen, less the others. */
	readonly votes: number;
};

/** Votes that a deadline can gather; a new usual one is found within as many requests. */
const maxVotes = 50;

/**
 * Advances what is known of the usual deadline of a route's fresh requests.
 *
 * A majority vote (Boyer and Moore, 1981): fresh requests share one deadline,
 * while those that clients send again each have some other, shorter one.
 *
 * @param before - what was known, undefined when nothing was
 * @param deadlineMs - deadline of a request, ms
 * @returns what is known now
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
