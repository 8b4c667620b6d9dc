import type {Attempt} from '../protocol/attempt.js';

/**
 * Computes how long an attempt has been in transit to a gate.
 *
 * The remaining time that an attempt carries is a duration as of the creation of
 * the attempt. After that the attempt may wait for a connection, for a network
 * partition to end, to be accepted or to be read; the event loop lag of the gate
 * covers only the last of these, and may exceed what an attempt has waited.
 *
 * @param attempt - creation time by the gate's clock, and how long the attempt may have waited unread
 * @param now - the gate's clock, monotonic ms
 * @returns the time, ms; the wait if the sender does not know the gate's time
 * @example
 * computeTransitTime({createdAtGateMs: 1000, unreadMs: 20}, 1600); // 600
 */
export function computeTransitTime(
	{
		createdAtGateMs,
		unreadMs = 0,
	}: Pick<Attempt, 'createdAtGateMs' | 'unreadMs'>,
	now: number,
): number {
	return createdAtGateMs === undefined
		? unreadMs
		: Math.max(0, now - createdAtGateMs);
}
