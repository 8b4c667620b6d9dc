/** A request that waits for a slot. */
export type WaitingRequest = {
	/** Whether it came too late to be answered within its objective. */
	readonly isLate: boolean;
	/** 0 goes first. */
	readonly priority: number;
	/** When it came, monotonic ms. */
	readonly admittedAt: number;
};

/**
 * Compares two waiting requests of a team: those that can be in time go first,
 * then the more urgent ones, then the older ones.
 *
 * Answers a load above what the upstreams can serve: a slot that goes to a
 * request whose answer comes late is missing for one that would be in time, and
 * in first-come order soon all are late.
 *
 * @param a - a waiting request
 * @param b - another one
 * @returns a negative number when `a` goes first
 * @example
 * waiting.toSorted(compareWaiting)[0]; // the request that goes next
 */
export function compareWaiting(a: WaitingRequest, b: WaitingRequest): number {
	return (
		Number(a.isLate) - Number(b.isLate) ||
		a.priority - b.priority ||
		a.admittedAt - b.admittedAt
	);
}
