import type {GateClock} from './step-gate-clock.js';

/**
 * Converts a time of the own clock to the clock of a gate.
 *
 * @param clock - the known offset of the gate's clock
 * @param at - a time of the own clock, monotonic ms
 * @returns the gate's time, ms; behind the true time by at most the transit time of a stamp
 * @example
 * computeGateTime(stepGateClock(undefined, {epoch: 'a', timeMs: 500}, 2000), 2010); // 510
 */
export function computeGateTime(
	{offsetMs, previousOffsetMs}: GateClock,
	at: number,
): number {
	return at - Math.min(offsetMs, previousOffsetMs);
}
