import {msPerSecond} from '../protocol/constants.js';
import {computeUsableRate} from './compute-usable-rate.js';
import type {RateLimit} from './rate-limit.js';

/** Burst size: time over which unused tokens accumulate, s; about the timer jitter of a busy node. */
const burstSeconds = 0.25;

/**
 * Computes how many requests may be sent at once under a rate limit.
 *
 * Unused tokens accumulate for a fraction of a second only, so that a node that
 * was suspended cannot send a larger burst when it resumes.
 *
 * @param limit - the limit
 * @param now - monotonic ms
 * @returns the number of requests, with fractions
 * @example
 * computeRateTokens({perSecond: 10, tokens: 0, refilledAt: 0, namedAt: 0}, 100); // 1
 */
export function computeRateTokens(limit: RateLimit, now: number): number {
	const rate = computeUsableRate(limit.perSecond);
	const elapsedMs = Math.max(0, now - limit.refilledAt);
	const maxTokens = Math.max(1, rate * burstSeconds);
	return Math.min(maxTokens, limit.tokens + (rate * elapsedMs) / msPerSecond);
}
