import {msPerSecond} from '../protocol/constants.js';

/** What a delay until the next try depends on. */
export type RetryAfterInput = {
	/** Expected wait for a slot, ms. */
	readonly waitMs: number;
	/** Expected time of the request, ms. */
	readonly serviceMs: number;
	/** Time left in which an answer has its full value, ms. */
	readonly objectiveMs: number;
	/** Time left until the deadline, ms. */
	readonly remainingMs: number;
	/** A number from 0 up to 1, which spreads the returns. */
	readonly random: number;
	/** Shortest delay, ms; `usualMinDelayMs` when absent. */
	readonly minDelayMs?: number;
};

/** Shortest delay, ms: several round trips, as each return costs the node time. */
const defaultMinDelayMs = 30;

/** Part of the time left that a delay may take, so that a try still fits. */
const maxRemainingRatio = 0.3;

/**
 * Computes when a refused client should come again.
 *
 * A client that can still be answered within its objective is told to come as
 * soon as the queue will be short enough for that; one that cannot waits longer,
 * until the load may have passed. Returns are spread, so that the clients
 * refused in a burst do not come back as one.
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
