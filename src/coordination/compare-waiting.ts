/** A request that is queued for a slot. */
export type WaitingRequest = {
	/** Whether it arrived too late to be answered within its objective. */
	readonly isLate: boolean;
	/** Priority; 0 is served first. */
	readonly priority: number;
	/** Arrival time plus the objective of its route, monotonic ms. */
	readonly dueAt: number;
};

/**
 * Compares two queued requests of a team: requests that can still meet their
 * objective are served first, then those of higher priority, then those due
 * earlier (arrival time plus the objective of the route).
 *
 * Load pattern: load above the capacity of the upstreams. A slot given to a
 * request that will miss its objective is not available to one that could meet
 * it, and in FIFO order soon all requests are late. Nested calls of running
 * requests have short objectives and are therefore served first, since a running
 * request that waits for such a call occupies a slot. Retried requests do not
 * overtake other requests of their route, because those were admitted with just
 * enough time.
 *
 * @param a - a queued request
 * @param b - another one
 * @returns a negative number when `a` is served first
 * @example
 * waiting.toSorted(compareWaiting)[0]; // the request that is served next
 */
export function compareWaiting(a: WaitingRequest, b: WaitingRequest): number {
	return (
		Number(a.isLate) - Number(b.isLate) ||
		a.priority - b.priority ||
		a.dueAt - b.dueAt
	);
}
