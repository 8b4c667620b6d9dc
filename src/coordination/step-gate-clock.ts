import type {GateStamp} from '../protocol/stamp.js';

/** Offset between the clock of a node and that of a gate, estimated from the stamps of the gate. */
export type GateClock = {
	/** Identifier of the gate's process. */
	readonly epoch: string;
	/** Smallest offset of the own clock ahead of a received stamp in this window, ms. */
	readonly offsetMs: number;
	/** The same for the previous window, ms. */
	readonly previousOffsetMs: number;
	/** When the window started, monotonic ms. */
	readonly windowStartedAt: number;
};

/** Length of a window, ms; after a suspension of the gate, the new offset applies after at most two windows. */
const windowMs = 5000;

/**
 * Updates the clock offset of a gate with a stamp.
 *
 * A stamp is received later than it was created, by its transit time and by the
 * event loop lag of its receiver. The stamp with the shortest delay therefore
 * gives the best estimate of the offset.
 *
 * @param clock - the clock before, undefined before the first stamp
 * @param stamp - the stamp
 * @param receivedAt - when it was received, monotonic ms of the receiver
 * @returns the clock after
 * @example
 * stepGateClock(undefined, {epoch: 'a', timeMs: 500}, 2000).offsetMs; // 1500
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
