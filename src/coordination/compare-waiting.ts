/** A request that is queued for a slot. */
export type WaitingRequest = {
	/** Whether it arrived too late to be answered within its objective. */
	readonly isLate: boolean;
	/** Priority; 0 is served first. */
	readonly priority: number;
	/** Arrival time plus the objective of its route, monotonic ms. */
	readonly dueAt: number;
	/** Whether a running request waits for it; false when absent. */
	readonly isNested?: boolean | undefined;
};

/**
 * Compares two queued requests of a team: nested calls are served first, then
 * requests that can still meet their objective, then those of higher priority,
 * then those due earlier (arrival time plus the objective of the route). Among
 * nested calls, only the due time counts.
 *
 * Load pattern: load above the capacity of the upstreams. A slot given to a
 * request that will miss its objective is not available to one that could meet
 * it, and in FIFO order soon all requests are late. A running request that waits
 * for a nested call occupies a slot, and all its work is lost when the call
 * fails; no work has been done yet for a new request. Retried requests do not
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
	const order = Number(b.isNested ?? false) - Number(a.isNested ?? false);
	if (order !== 0 || a.isNested) {
		return order || a.dueAt - b.dueAt;
	}

	return (
		Number(a.isLate) - Number(b.isLate) ||
		a.priority - b.priority ||
		a.dueAt - b.dueAt
	);
}
