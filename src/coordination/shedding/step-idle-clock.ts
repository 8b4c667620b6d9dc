/** Time in which nothing was in flight at the upstreams of a host. */
export type IdleClock = {
	readonly inFlight: number;
	/** Idle time up to `at`, ms. */
	readonly idleMs: number;
	/** Time of the last change, monotonic ms. */
	readonly at: number;
};

/**
 * Advances the clock of idle time when a request starts or ends.
 *
 * @param clock - the clock before
 * @param change - change of the number in flight; 0 only reads the time
 * @param now - monotonic ms
 * @returns the clock after
 * @example
 * stepIdleClock({inFlight: 0, idleMs: 0, at: 0}, 1, 5).idleMs; // 5
 */
export function stepIdleClock(
	clock: IdleClock,
	change: -1 | 0 | 1,
	now: number,
): IdleClock {
	const sinceMs = Math.max(0, now - clock.at);
	return {
		inFlight: Math.max(0, clock.inFlight + change),
		idleMs: clock.idleMs + (clock.inFlight === 0 ? sinceMs : 0),
		at: now,
	};
}
