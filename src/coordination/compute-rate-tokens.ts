import {msPerSecond} from '../protocol/constants.js';
import {computeUsableRate} from './compute-usable-rate.js';
import type {RateLimit} from './rate-limit.js';

/** Time for which unused allowance is kept, s; about the jitter of a busy node's timers. */
const burstSeconds = 0.25;

/**
 * Computes how many requests may be sent at once under a rate limit.
 *
 * Unused allowance is kept for a fraction of a second only, so that a node that
 * was paused has no more than that when it goes on.
 *
 * @param limit - the limit
 * @param now - monotonic ms
 * @returns requests, with fractions
 * @example
 * computeRateTokens({perSecond: 10, tokens: 0, countedAt: 0, namedAt: 0}, 100); // 1
 */
export function computeRateTokens(limit: RateLimit, now: number): number {
	const rate = computeUsableRate(limit.perSecond);
	const elapsedMs = Math.max(0, now - limit.refilledAt);
	const maxTokens = Math.max(1, rate * burstSeconds);
	return Math.min(maxTokens, limit.tokens + (rate * elapsedMs) / msPerSecond);
}
