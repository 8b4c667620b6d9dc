import {retryBackoffBaseMs, retryBackoffCapMs} from '../protocol/constants.js';

/**
 * Computes the delay before the next attempt at a request: exponential backoff
 * with full jitter.
 *
 * @param attempts - attempts made so far, from 1
 * @param random - random number in [0, 1)
 * @returns the delay in ms
 * @example
 * computeRetryDelay(1, 0.5); // 5
 */
export function computeRetryDelay(attempts: number, random: number): number {
	const ceilingMs = retryBackoffBaseMs * 2 ** (attempts - 1);
	return random * Math.min(retryBackoffCapMs, ceilingMs);
}
