/** Decaying sum of the expected times of the requests at an upstream. */
export type Utilization = {
	/** Expected work of about the last second, ms. */
	readonly workMs: number;
	/** Monotonic ms. */
	readonly at: number;
};

/** Time constant of the average, ms; several times the duration of a request. */
export const utilizationWindowMs = 1000;

/**
 * Adds a request's expected time to the utilization of an upstream.
 *
 * @param before - the utilization before, undefined when there is none
 * @param workMs - expected time of a request, ms
 * @param now - monotonic ms
 * @returns the utilization after
 * @example
 * stepUtilization(undefined, 30, 0).workMs; // 30
 */
export function stepUtilization(
	before: Utilization | undefined,
	workMs: number,
	now: number,
): Utilization {
	const rest = before
		? before.workMs * Math.exp((before.at - now) / utilizationWindowMs)
		: 0;
	return {workMs: rest + workMs, at: now};
}
