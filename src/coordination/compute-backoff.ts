import {retryBaseMs, retryCapMs} from '../protocol/constants.js';

/**
 * Computes the delay before a retry: exponential backoff with full jitter.
 *
 * @param attempt - number of tries that have failed, at least 1
 * @param random - a random number from 0 (inclusive) to 1 (exclusive)
 * @returns the delay in ms
 * @example
 * computeBackoff(1, 0.5); // 50
 */
export function computeBackoff(attempt: number, random: number): number {
	return random * Math.min(retryCapMs, retryBaseMs * 2 ** (attempt - 1));
}
