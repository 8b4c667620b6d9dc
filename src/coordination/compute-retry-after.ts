import {msPerSecond} from '../protocol/constants.js';

/** What a delay until the next try depends on. */
export type RetryAfterInput = {
	/** Expected wait for a slot, ms. */
	readonly waitMs: number;
	/** Expected time of the request, ms. */
	readonly serviceMs: number;
	/** Time left until the deadline, ms. */
	readonly remainingMs: number;
	/** A number from 0 up to 1, which spreads the returns. */
	readonly random: number;
};

/** Shortest delay, ms: a few round trips. */
const minDelayMs = 20;

/** Part of the time left that a delay may take, so that a try still fits. */
const remainingPart = 0.3;

/**
 * Computes when a refused client should come again.
 *
 * It is told to return when a slot is expected to be free, less the queue that
 * it may join. Returns are spread over half of the delay, so that the clients
 * refused in a burst do not come back as one.
 *
 * @param input - see `RetryAfterInput`
 * @returns the delay, s, with fractions
 * @example
 * computeRetryAfter({waitMs: 100, serviceMs: 20, remainingMs: 900, random: 0});
 */
export function computeRetryAfter(input: RetryAfterInput): number {
	const {waitMs, serviceMs, remainingMs, random} = input;
	const delayMs = Math.max(minDelayMs, waitMs - serviceMs, serviceMs / 2);
	const spreadMs = delayMs * (0.75 + random / 2);
	return Math.min(spreadMs, remainingMs * remainingPart) / msPerSecond;
}
