import {msPerSecond} from '../protocol/constants.js';
import {computeRateTokens} from './compute-rate-tokens.js';
import {computeUsableRate} from './compute-usable-rate.js';
import type {RateLimit} from './rate-limit.js';

/** Tolerance for rounding errors when comparing with a whole token. */
const tokenTolerance = 1e-6;

/**
 * Computes how long a request waits under its upstream's rate limit.
 *
 * @param limit - the limit, undefined when there is none
 * @param ahead - number of requests that are sent before it
 * @param now - monotonic ms
 * @returns the wait, ms; 0 when it may be sent at once
 * @example
 * computeRateLimitWait({perSecond: 10, tokens: 0, refilledAt: 0, namedAt: 0}, 1, 0); // 200
 */
export function computeRateLimitWait(
	limit: RateLimit | undefined,
	ahead: number,
	now: number,
): number {
	if (!limit) {
		return 0;
	}

	const missing = ahead + 1 - computeRateTokens(limit, now);
	return missing <= tokenTolerance
		? 0
		: (missing * msPerSecond) / computeUsableRate(limit.perSecond);
}
