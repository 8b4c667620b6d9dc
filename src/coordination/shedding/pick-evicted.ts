import {compareWaiting, type WaitingRequest} from '../compare-waiting.js';

/**
 * Picks the queued request whose eviction costs callers least, to make space for
 * a nested call: one that can only be late, else one of the lowest priority, else
 * the one due last. Calls are not evicted, since each costs the work of the
 * request that made it, while a queued request has had no work yet.
 *
 * Load pattern: a queue full of new work at the moment at which running requests
 * make their calls.
 *
 * @param queued - the queued requests
 * @returns the request, or undefined if only calls are queued
 * @example
 * pickEvicted([]); // undefined
 */
export function pickEvicted<Item extends WaitingRequest>(
	queued: Iterable<Item>,
): Item | undefined {
	let evicted: Item | undefined;
	for (const request of queued) {
		const isNew = request.isNested !== true;
		if (isNew && (!evicted || compareWaiting(request, evicted) > 0)) {
			evicted = request;
		}
	}

	return evicted;
}
