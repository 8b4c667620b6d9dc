import {timeBuckets} from '../../protocol/rollout.js';

/** Upper bound of the first bucket, ms. */
const firstBoundMs = 4;

/** Buckets in which a time doubles. */
export const bucketsPerDoubling = 2;

/**
 * Computes the bucket of a service time; two buckets double the time, so that a
 * median is known to 41 %.
 *
 * @param durationMs - the time, ms
 * @returns index of the bucket, from 0 to `timeBuckets` - 1
 * @example
 * computeTimeBucket(16); // 4
 */
export function computeTimeBucket(durationMs: number): number {
	const doublings = Math.log2(
		Math.max(durationMs, firstBoundMs) / firstBoundMs,
	);
	return Math.min(timeBuckets - 1, Math.floor(doublings * bucketsPerDoubling));
}
