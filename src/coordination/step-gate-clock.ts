import type {GateStamp} from '../protocol/stamp.js';

/** What a node knows of the clock of a gate, from its stamps. */
export type GateClock = {
	/** Name of the gate's process. */
	readonly epoch: string;
	/** Least time by which the own clock was ahead when a stamp came, in this window, ms. */
	readonly offsetMs: number;
	/** The same of the window before. */
	readonly previousOffsetMs: number;
	/** When the window began, monotonic ms. */
	readonly windowStartedAt: number;
};

/** Time for which the least difference holds, ms; a machine that was suspended is known by its new time after two of them. */
const windowMs = 5000;

/**
 * Takes a stamp into what is known of the clock of its gate.
 *
 * A stamp comes later than it was made, by its way and by how late its receiver
 * runs. The one that came soonest tells the difference of the clocks best.
 *
 * @param clock - what was known; undefined before the first stamp
 * @param stamp - the stamp
 * @param receivedAt - when it came, monotonic ms of the receiver
 * @returns what is known now
 * @example
 * stepGateClock(undefined, {epoch: 'a', timeMs: 500}, 2000).aheadMs; // 1500
 */
export function stepGateClock(
	clock: GateClock | undefined,
	{epoch, timeMs}: GateStamp,
	receivedAt: number,
): GateClock {
	const offsetMs = receivedAt - timeMs;
	if (clock?.epoch !== epoch) {
		return {
			epoch,
			offsetMs,
			previousOffsetMs: offsetMs,
			windowStartedAt: receivedAt,
		};
	}

	return receivedAt - clock.windowStartedAt < windowMs
		? {...clock, offsetMs: Math.min(clock.offsetMs, offsetMs)}
		: {
				epoch,
				offsetMs,
				previousOffsetMs: clock.offsetMs,
				windowStartedAt: receivedAt,
			};
}
