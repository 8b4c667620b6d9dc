import {msPerSecond} from '../../protocol/constants.js';
import type {QuotaLimit} from './quota-state.js';

/** Sizes of the bucket of a tenant. */
export type QuotaBucket = {
	/** Tokens that can be in the bucket and at nodes at a time. */
	readonly capacity: number;
	/** Tokens per second that are added. */
	readonly refillRate: number;
	/** Tokens of a home that has just taken over. */
	readonly startTokens: number;
	/** Own shares of all nodes together, requests per second. */
	readonly ownRate: number;
};

/** Part of the tolerance that extends the burst; with it, a small tenant can have a token at several nodes. */
const capacityRatio = 0.25;

/** Part of the tolerance that is added in a window; makes up for tokens that expire, and for requests that come again after a refusal. */
const refillRatio = 0.5;

/** Part of the tolerance for own shares in a window; the rest is for changes of the home. */
const ownShareRatio = 0.125;

/** Part of the slack that a new home starts with. */
const startRatio = 0.1;

/**
 * Computes the sizes of the bucket of a tenant so that bucket, own shares and a
 * change of the home stay within the tolerance of a window.
 *
 * @param limit - limit of the tenant
 * @returns the sizes
 * @example
 * computeQuotaBucket({ratePerSecond: 3, burst: 3, windowMs: 5000, overRatio: 0.1, slack: 20}).capacity; // 8.45
 */
export function computeQuotaBucket(limit: QuotaLimit): QuotaBucket {
	const {ratePerSecond, burst, windowMs, overRatio, slack} = limit;
	const windowSeconds = windowMs / msPerSecond;
	const tolerance = overRatio * (ratePerSecond * windowSeconds + burst) + slack;
	return {
		capacity: Math.max(1, burst + capacityRatio * tolerance),
		refillRate: ratePerSecond + (refillRatio * tolerance) / windowSeconds,
		startTokens: startRatio * slack,
		ownRate: Math.min(
			ratePerSecond,
			(ownShareRatio * tolerance) / windowSeconds,
		),
	};
}
