import type {Attempt} from '../protocol/attempt.js';

/** Time that an attempt has left. */
export type RemainingTime = Pick<Attempt, 'remainingMs' | 'objectiveMs'>;

/**
 * Computes the time that an attempt has left after it has waited to be read.
 *
 * Load pattern: a node whose event loop lags, as it does for seconds after a
 * restart. Attempts carry the time that was left when they were sent, and would
 * otherwise be forwarded long after their callers have disconnected.
 *
 * @param remaining - time that was left when the attempt was sent, ms
 * @param waitedMs - how long it may have waited since, ms
 * @returns the time left, ms; 0 when none is left
 * @example
 * computeRemainingTime({remainingMs: 200, objectiveMs: 50}, 80).remainingMs; // 120
 */
export function computeRemainingTime(
	{remainingMs, objectiveMs}: RemainingTime,
	waitedMs: number,
): RemainingTime {
	return {
		remainingMs: Math.max(0, remainingMs - waitedMs),
		objectiveMs:
			objectiveMs === undefined
				? undefined
				: Math.max(0, objectiveMs - waitedMs),
	};
}
