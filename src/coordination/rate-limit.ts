/**
 * What a gate knows of the rate limit that its upstream has named.
 */
export type RateLimit = {
	/** Requests a second that the upstream takes from all nodes together. */
	readonly perSecond: number;
	/** Requests that could be sent at once when they were last counted. */
	readonly tokens: number;
	/** When they were counted, monotonic ms. */
	readonly refilledAt: number;
	/** When an answer last named the limit, monotonic ms. */
	readonly namedAt: number;
};
