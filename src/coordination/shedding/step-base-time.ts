/** Growth of the base time with each call, as a ratio; it follows a service that has become slower within some thousand calls. */
const growthRatio = 0.0003;

/**
 * Updates the time that calls of a route take without a wait: the lowest one
 * lately. Unlike a mean, it does not grow with the waits of a service that is
 * short of slots, or of one that this service calls in turn.
 *
 * Load pattern: calls two levels deep, of which the deeper service is short of
 * slots: the waits there are part of the service time of the first.
 *
 * @param baseMs - the time before, ms; undefined before the first call
 * @param durationMs - time of an answered call, ms
 * @returns the time after, ms
 * @example
 * stepBaseTime(40, 30); // 30
 */
export function stepBaseTime(
	baseMs: number | undefined,
	durationMs: number,
): number {
	return baseMs === undefined
		? durationMs
		: Math.min(durationMs, baseMs * (1 + growthRatio));
}
