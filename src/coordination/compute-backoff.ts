import {retryBaseMs, retryCapMs} from '../protocol/constants.js';

/**
 * Computes the delay before a retry: exponential backoff with full jitter.
 *
 * @param attempt - how many tries have failed, from 1
 * @param random - a number from 0 up to 1
 * @returns the delay in ms
 * @example
 * computeBackoff(1, 0.5); // 50
 */
export function computeBackoff(attempt: number, random: number): number {
	return random * Math.min(retryCapMs, retryBaseMs * 2 ** (attempt - 1));
}
