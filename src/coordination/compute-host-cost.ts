/** What is expected of a request at a host. */
export type HostEstimate = {
	/** Expected time of the request itself, ms. */
	readonly requestMs: number;
	/** Expected time of any request that it waits for, ms. */
	readonly serviceMs: number;
	/** Requests there as a share of the slots, this one included. */
	readonly load: number;
	/** Wait for its turn under a rate limit, ms; 0 when absent. */
	readonly rateLimitWaitMs?: number;
	/** Time within which the answer has its full value, ms. */
	readonly objectiveMs: number;
};

/** Wait at a host whose slots are just all taken, as a part of a request's time. */
const fullHostWaitRatio = 0.4;

/** How fast the risk to be late falls with the room for the request; fits times that scatter by a third and have a tail. */
const riskSlope = 3.5;

/** Weight of the load among hosts of equal risk, which spreads requests before any wait. */
const loadWeight = 0.15;

/**
 * Computes what a request costs at a host, in parts of its value: the risk that
 * its answer comes late, and the load, which makes others late.
 *
 * Answers hosts of uneven speed: the fastest one alone would be chosen until it
 * is full, while a slower one with free slots is still in time. So is one whose
 * upstream limits its rate, until the request would wait too long for its turn.
 *
 * @param expectation - see `HostExpectation`
 * @returns the cost; about 0 for an idle and fast host, above 1 when the request
 * can only be late
 * @example
 * computeOfferCost({ownMs: 60, serviceMs: 60, load: 0.2, objectiveMs: 200});
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
