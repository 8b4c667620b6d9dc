/** What a stopping node knows when a request comes. */
export type DrainAdmissionInput = {
	/** Monotonic ms. */
	readonly now: number;
	/** Until when the node takes every request, monotonic ms. */
	readonly servesUntil: number;
	/** When the node ends, monotonic ms. */
	readonly endsAt: number;
	/** Longest time until the request's final answer, ms. */
	readonly deadlineMs: number;
};

/**
 * Decides whether a stopping node takes a request.
 *
 * Answers the load of a planned stop whose clients have nowhere else to go and
 * go on sending: a request that may outlast the node would be broken off while
 * its upstream is at work, whereas one that is refused has not run and can be
 * sent again. Until clients can know of the stop every request is taken.
 *
 * @param input - see `DrainAdmissionInput`
 * @returns whether the request is taken
 * @example
 * decideDrainAdmission({now: 0, servesUntil: 2500, endsAt: 5850, deadlineMs: 9000}); // true
 */
export function decideDrainAdmission(input: DrainAdmissionInput): boolean {
	const {now, servesUntil, endsAt, deadlineMs} = input;
	return now < servesUntil || now + deadlineMs <= endsAt;
}
