/** Evidence on whether the runs of a route at the local upstream make calls. */
export type CallingRoute = {
	/** Whether runs of the route fail when calls fail. */
	readonly makesCalls: boolean;
	/** Runs during which a call from this node failed, decayed by number. */
	readonly exposedRuns: number;
	/** Those of them that the upstream ended with a server error: the runs lost to their calls. */
	readonly lostRuns: number;
	/** Runs during which no call failed, decayed by number. */
	readonly otherRuns: number;
	/** Those of them that the upstream ended with a server error. */
	readonly otherFailures: number;
};

/** End of a run at the local upstream. */
export type RunEnd = {
	/** Whether a nested call from this node failed while it ran. */
	readonly isExposed: boolean;
	/** Whether the upstream answered with a server error. */
	readonly isFailed: boolean;
};

/** Runs over which the evidence is kept. */
const memoryRuns = 500;

/** Lost runs below which a route is not throttled. */
const minLostRuns = 4;

/** Share of exposed runs that fail beyond what fails otherwise. A route without calls fails as often when the calls of others fail. */
const minLostShare = 0.1;

/** Multiple of the usual share of failures, so that a faulty upstream is not taken for one whose calls fail. */
const faultRatio = 2;

const noEvidence: CallingRoute = {
	makesCalls: false,
	exposedRuns: 0,
	lostRuns: 0,
	otherRuns: 0,
	otherFailures: 0,
};

/**
 * Learns from the end of a run whether the runs of its route make calls.
 *
 * Load pattern: a called service that is short of slots. Runs of the routes that
 * call it end with a server error whenever a call fails, and those of other
 * routes at the same upstream do not.
 *
 * @param route - evidence before; undefined before the first run
 * @param end - see `RunEnd`
 * @returns the evidence after
 * @example
 * stepCallingRoute(undefined, {isExposed: true, isFailed: true}).lostRuns; // 1
 */
export function stepCallingRoute(
	route: CallingRoute | undefined,
	{isExposed, isFailed}: RunEnd,
): CallingRoute {
	const before = route ?? noEvidence;
	const keep = 1 - 1 / memoryRuns;
	const failure = isFailed ? 1 : 0;
	const after = isExposed
		? {
				...before,
				exposedRuns: before.exposedRuns * keep + 1,
				lostRuns: before.lostRuns * keep + failure,
			}
		: {
				...before,
				otherRuns: before.otherRuns * keep + 1,
				otherFailures: before.otherFailures * keep + failure,
			};
	const usualShare = after.otherFailures / Math.max(1, after.otherRuns);
	const makesCalls =
		after.lostRuns >= minLostRuns &&
		after.lostRuns >
			after.exposedRuns * (minLostShare + faultRatio * usualShare);
	return {...after, makesCalls};
}
