/** A request that waits for a slot. */
export type WaitingRequest = {
	/** Whether it came too late to be answered within its objective. */
	readonly isLate: boolean;
	/** 0 goes first. */
	readonly priority: number;
	/** When it came plus the objective of its route, monotonic ms. */
	readonly dueAt: number;
};

/**
 * Compares two waiting requests of a team: those that can be in time go first,
 * then the more urgent ones, then by arrival and the
 * objective of their route.
 *
 * Answers a load above what the upstreams can serve: a slot that goes to a
 * request whose answer comes late is missing for one that would be in time, and
 * in first-come order soon all are late. Calls of running requests have short
 * objectives and so go first; a running request that waits for one holds a slot.
 * Returning requests don't overtake those of their route: these were admitted
 * with just enough time.
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
		a.dueAt - b.dueAt
	);
}
