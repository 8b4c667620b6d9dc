import type {GateClock} from './step-gate-clock.js';

/**
 * Computes the time of a gate's clock.
 *
 * @param clock - what is known of the clock
 * @param at - a time of the own clock, monotonic ms
 * @returns the gate's time then, ms; early by no more than the way of a stamp
 * @example
 * computeGateTime(stepGateClock(undefined, {epoch: 'a', timeMs: 500}, 2000), 2010); // 510
 */
export function computeGateTime(
	{offsetMs, previousOffsetMs}: GateClock,
	at: number,
): number {
	return at - Math.min(offsetMs, previousOffsetMs);
}
