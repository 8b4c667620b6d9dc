import type {Attempt} from '../protocol/attempt.js';

/**
 * Computes how long an attempt has been on its way to a gate.
 *
 * Its time left is a duration, true when the attempt was made. It then may wait
 * for a connection, in a network that is cut, to be accepted or to be read, and
 * the lag of the gate tells only of the last.
 *
 * @param attempt - when it was made by the gate's clock, and the gate's lag
 * @param now - the gate's clock, monotonic ms
 * @returns the time, ms; what the lag says where the sender knows no gate time
 * @example
 * computeTransitTime({madeAtGateMs: 1000, unreadMs: 20}, 1600); // 600
 */
export function computeTransitTime(
	{madeAtGateMs, unreadMs = 0}: Pick<Attempt, 'madeAtGateMs' | 'unreadMs'>,
	now: number,
): number {
	return Math.max(
		0,
		unreadMs,
		madeAtGateMs === undefined ? 0 : now - madeAtGateMs,
	);
}
