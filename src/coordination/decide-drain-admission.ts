/** Schedule of a draining node and the deadline of a request. */
export type DrainAdmissionInput = {
	/** Monotonic ms. */
	readonly now: number;
	/** Until when the node admits every request, monotonic ms. */
	readonly servesUntil: number;
	/** When the node exits, monotonic ms. */
	readonly endsAt: number;
	/** Longest time until the request's final answer, ms. */
	readonly deadlineMs: number;
};

/**
 * Decides whether a draining node admits a request.
 *
 * Load pattern: a planned stop whose clients have no other node and keep sending
 * requests. A request that may outlast the node would be aborted while its
 * upstream runs it, whereas a refused request has not run and can be retried.
 * Every request is admitted until clients can have learned of the stop.
 *
 * @param input - see `DrainAdmissionInput`
 * @returns whether the request is admitted
 * @example
 * decideDrainAdmission({now: 0, servesUntil: 2500, endsAt: 5850, deadlineMs: 9000}); // true
 */
export function decideDrainAdmission(input: DrainAdmissionInput): boolean {
	const {now, servesUntil, endsAt, deadlineMs} = input;
	return now < servesUntil || now + deadlineMs <= endsAt;
}
