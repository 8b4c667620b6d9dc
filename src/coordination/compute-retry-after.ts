import {msPerSecond} from '../protocol/constants.js';

/** Input of the retry delay of a refused client. */
export type RetryAfterInput = {
	/** Expected wait for a slot, ms. */
	readonly waitMs: number;
	/** Expected time of the request, ms. */
	readonly serviceMs: number;
	/** Time left in which an answer has its full value, ms. */
	readonly objectiveMs: number;
	/** Time left until the deadline, ms. */
	readonly remainingMs: number;
	/** Random number in [0, 1), used as jitter. */
	readonly random: number;
	/** Shortest delay, ms; `defaultMinDelayMs` when absent. */
	readonly minDelayMs?: number;
};

/** Shortest delay, ms: several round trips, since each retry costs the node processing time. */
const defaultMinDelayMs = 30;

/** Largest delay as a ratio of the time left, so that a retry still fits before the deadline. */
const maxRemainingRatio = 0.3;

/**
 * Computes the delay after which a refused client should retry.
 *
 * A client that can still be answered within its objective retries as soon as
 * the queue is expected to be short enough; any other client waits longer, until
 * the load may have passed. Delays are jittered, so that clients refused in a
 * burst do not retry at the same time.
 *
 * @param input - see `RetryAfterInput`
 * @returns the delay, s, with fractions
 * @example
 * computeRetryAfter({waitMs: 100, serviceMs: 20, objectiveMs: 110, remainingMs: 900, random: 0}); // 0.02
 */
export function computeRetryAfter(input: RetryAfterInput): number {
	const {waitMs, serviceMs, objectiveMs, remainingMs, random} = input;
	const {minDelayMs = defaultMinDelayMs} = input;
	const maxDelayMs = remainingMs * maxRemainingRatio;
	const excessMs = waitMs + serviceMs - objectiveMs;
	const canBeInTime = objectiveMs - serviceMs > 2 * defaultMinDelayMs;
	const delayMs = canBeInTime
		? Math.max(minDelayMs, excessMs)
		: Math.max(waitMs, maxDelayMs);
	return Math.min(delayMs * (0.75 + random / 2), maxDelayMs) / msPerSecond;
}
