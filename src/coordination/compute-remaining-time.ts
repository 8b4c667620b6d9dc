import type {Attempt} from '../protocol/attempt.js';

/** What an attempt has left of its time. */
export type RemainingTime = Pick<Attempt, 'remainingMs' | 'objectiveMs'>;

/**
 * Computes what an attempt has left of its time after it has waited unread.
 *
 * Answers the load of a node whose event loop runs late, for seconds after a
 * restart: its attempts name the time that was left when they were sent, and
 * would be sent on long after their callers have gone.
 *
 * @param terms - what was left when the attempt was sent, ms
 * @param waitedMs - how long it may have waited since, ms
 * @returns what is left, ms; 0 when nothing is
 * @example
 * computeRemainingTerms({remainingMs: 200, objectiveMs: 50}, 80).remainingMs; // 120
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
