/** Evidence on whether the requests of a route are calls of the requests that run on the host. */
export type NestedRoute = {
	/** Whether the route is classified as one of calls. */
	readonly isNested: boolean;
	/** Arrivals, decayed like the others. */
	readonly arrivals: number;
	/** Arrivals while the local upstream was idle, decayed likewise. */
	readonly idleArrivals: number;
	/** Arrivals that would have met an idle upstream if they came independently of its work, decayed by their own number. */
	readonly expectedIdle: number;
};

/** Arrival of a request of a route at the caller's node. */
export type RouteArrival = {
	/** Requests in flight at the local upstream. */
	readonly inFlight: number;
	/** Share of the time since the previous arrival of the route in which the local upstream was idle, 0 to 1. */
	readonly idleShare: number;
};

/** Expected idle arrivals over which the evidence is kept, so that a route that changes is noticed. A busy time brings no evidence and takes none away. */
const memoryIdle = 60;

const minArrivals = 30;

/** Independent arrivals all miss the idle times with a probability of 5e-5 when so many are expected in them. */
const minExpectedIdle = 10;

/** Ratio of idle to expected arrivals up to which a route becomes nested; a few calls outlive the request that made them. */
const maxIdleRatio = 0.05;

/** Ratio from which a nested route is no longer one; higher, so that single arrivals do not change the classification. */
const endIdleRatio = 0.25;

/** Idle arrivals below which a nested route stays one. */
const minEndArrivals = 3;

const noEvidence: NestedRoute = {
	isNested: false,
	arrivals: 0,
	idleArrivals: 0,
	expectedIdle: 0,
};

/**
 * Learns from an arrival whether the requests of a route are calls made by
 * requests that run at the local upstream.
 *
 * A call arrives only while the request that makes it is in flight. Requests of
 * clients come independently of that, so that some of them meet an idle
 * upstream. The idle share since the previous arrival tells how probable that
 * was; it follows the load, so that a burst of clients after a quiet time is no
 * evidence for calls, and neither is a time without any idleness.
 *
 * Load pattern: calls at a service that is short of slots. They carry no mark, and
 * a refused one costs all the work of the request that made it.
 *
 * @param route - evidence before; undefined before the first arrival
 * @param arrival - see `RouteArrival`
 * @returns the evidence after
 * @example
 * stepNestedRoute(undefined, {inFlight: 0, idleShare: 1}).isNested; // false
 */
export function stepNestedRoute(
	route: NestedRoute | undefined,
	{inFlight, idleShare}: RouteArrival,
): NestedRoute {
	const before = route ?? noEvidence;
	const keep = 1 - idleShare / memoryIdle;
	const arrivals = before.arrivals * keep + 1;
	const idleArrivals = before.idleArrivals * keep + (inFlight === 0 ? 1 : 0);
	const expectedIdle = before.expectedIdle * keep + idleShare;
	const isNested = before.isNested
		? idleArrivals < minEndArrivals ||
			idleArrivals < endIdleRatio * expectedIdle
		: arrivals >= minArrivals &&
			expectedIdle >= minExpectedIdle &&
			idleArrivals <= maxIdleRatio * expectedIdle;
	return {isNested, arrivals, idleArrivals, expectedIdle};
}
