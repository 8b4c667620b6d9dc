/** A request that waits for a slot. */
export type WaitingRequest = {
	/** Whether it came too late to be answered within its objective. */
	readonly isLate: boolean;
	/** 0 goes first. */
	readonly priority: number;
	/** Until when an answer has its full value, monotonic ms. */
	readonly objectiveAt: number;
};

/**
 * Compares two waiting requests of a team: those that can be in time go first,
 * then the more urgent ones, then those whose objective ends first.
 *
 * Answers a load above what the upstreams can serve: a slot that goes to a
 * request whose answer comes late is missing for one that would be in time, and
 * in first-come order soon all are late. Calls of running requests have short
 * objectives and so go first; a running request that waits for one holds a slot.
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
		a.objectiveAt - b.objectiveAt
	);
}
