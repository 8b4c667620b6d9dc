/**
 * Token bucket for the rate limit that an upstream has reported to its gate.
 */
export type RateLimit = {
	/** Requests a second that the upstream accepts from all nodes in total. */
	readonly perSecond: number;
	/** Tokens at the last refill: requests that could be sent at once. */
	readonly tokens: number;
	/** Time of the last refill, monotonic ms. */
	readonly refilledAt: number;
	/** When an answer last reported the limit, monotonic ms. */
	readonly namedAt: number;
};
