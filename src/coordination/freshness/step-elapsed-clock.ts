/** Clock of elapsed time that counts the time in which the machine was suspended. */
export type ElapsedClock = {
	/** Sum of the jumps by which wall-clock time ran ahead of monotonic time, ms. */
	readonly aheadMs: number;
	/** Time by which wall-clock time has run ahead that does not count as a jump yet, ms. */
	readonly pendingMs: number;
	/** Wall-clock time minus monotonic time at the last reading, ms. */
	readonly offsetMs: number;
};

/** One reading of both clocks. */
export type ClockReading = {
	/** Monotonic ms. */
	readonly monotonicMs: number;
	/** Wall-clock ms. */
	readonly wallMs: number;
};

/**
 * Time by which wall-clock time must run ahead of monotonic time to count as a
 * jump, ms. Wall-clock time is read in whole milliseconds, and the process may
 * be preempted between the readings of the two clocks.
 */
export const clockJumpThresholdMs = 30;

/**
 * Updates the clock of elapsed time with a reading. Elapsed time is monotonic
 * time plus `aheadMs`.
 *
 * The monotonic clock stops while the machine is suspended, and wall-clock time
 * goes on. Time by which wall-clock time runs ahead is kept until it exceeds the
 * threshold and then counted in full, so that many short suspensions are not
 * lost. A step back subtracts nothing. Elapsed time therefore lags real time by
 * the threshold at most, unless wall-clock time is stepped back while the
 * machine is suspended, or by less than the threshold after it was.
 *
 * @param clock - the clock before, undefined before the first reading
 * @param reading - the reading
 * @returns the clock after
 * @example
 * stepElapsedClock(undefined, {monotonicMs: 5, wallMs: 1005}).aheadMs; // 0
 */
export function stepElapsedClock(
	clock: ElapsedClock | undefined,
	{monotonicMs, wallMs}: ClockReading,
): ElapsedClock {
	const offsetMs = wallMs - monotonicMs;
	if (!clock) {
		return {aheadMs: 0, pendingMs: 0, offsetMs};
	}

	const changeMs = offsetMs - clock.offsetMs;
	const isStepBack = changeMs < -clockJumpThresholdMs;
	const pendingMs = isStepBack
		? clock.pendingMs
		: Math.max(0, clock.pendingMs + changeMs);
	return pendingMs > clockJumpThresholdMs
		? {aheadMs: clock.aheadMs + pendingMs, pendingMs: 0, offsetMs}
		: {aheadMs: clock.aheadMs, pendingMs, offsetMs};
}
