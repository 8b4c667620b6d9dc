import {msPerSecond} from '../protocol/constants.js';
import {computeRateTokens} from './compute-rate-tokens.js';
import {computeUsableRate} from './compute-usable-rate.js';
import type {RateLimit} from './rate-limit.js';

/** Part of a token that may be missing from a whole one, as fractions are not exact. */
const tokenTolerance = 1e-6;

/**
 * Computes how long a request waits for its turn under its upstream's rate
 * limit.
 *
 * @param limit - the limit, undefined when there is none
 * @param ahead - requests that are sent before it
 * @param now - monotonic ms
 * @returns the wait, ms; 0 when it may be sent at once
 * @example
 * computeTurnWait({perSecond: 10, tokens: 0, countedAt: 0, namedAt: 0}, 1, 0); // 200
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
