/** Estimated times and load of a request at a host. */
export type HostEstimate = {
	/** Expected time of the request itself, ms. */
	readonly requestMs: number;
	/** Expected time of any request queued ahead of it, ms. */
	readonly serviceMs: number;
	/** Requests there as a share of the slots, this one included. */
	readonly load: number;
	/** Wait under a rate limit, ms; 0 when absent. */
	readonly rateLimitWaitMs?: number;
	/** Time within which the answer has its full value, ms. */
	readonly objectiveMs: number;
};

/** Wait at a host whose slots have just all been taken, as a ratio of a request's time. */
const fullHostWaitRatio = 0.4;

/** Rate at which the risk of a late answer falls with the slack; fits times with a deviation of a third of the mean and a long tail. */
const riskSlope = 3.5;

/** Weight of the load among hosts of equal risk; spreads requests before any queue builds up. */
const loadWeight = 0.15;

/**
 * Computes the cost of a request at a host, as a fraction of the request's
 * value: the risk of a late answer plus the load, which delays other requests.
 *
 * Load pattern: hosts of uneven speed. By speed alone, the fastest host would be
 * chosen until it is full, although a slower host with free slots still answers
 * in time. A host whose upstream limits its rate also answers in time, until the
 * wait under the limit becomes too long.
 *
 * @param expectation - see `HostEstimate`
 * @returns the cost; about 0 for an idle and fast host, above 1 when the answer
 * can only be late
 * @example
 * computeHostCost({requestMs: 60, serviceMs: 60, load: 0.2, objectiveMs: 200});
 */
export function computeHostCost(expectation: HostEstimate): number {
	const {
		requestMs,
		serviceMs,
		load,
		objectiveMs,
		rateLimitWaitMs = 0,
	} = expectation;
	const cappedLoad = Math.min(1, load);
	const slotWaitMs =
		serviceMs * (Math.max(0, load - 1) + fullHostWaitRatio * cappedLoad ** 4);
	const waitMs = Math.max(slotWaitMs, rateLimitWaitMs);
	const slackRatio = objectiveMs / (requestMs + waitMs) - 1;
	const risk =
		slackRatio > 0 ? Math.exp(-riskSlope * slackRatio) : 1 - slackRatio;
	return risk + loadWeight * cappedLoad ** 2;
}
