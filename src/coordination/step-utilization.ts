/** How much of an upstream's time the admitted requests take. */
export type Utilization = {
	/** Admitted work of about the last second, ms. */
	readonly workMs: number;
	/** Monotonic ms. */
	readonly at: number;
};

/** Time over which work is averaged; several times a request's, ms. */
const windowMs = 1000;

/**
 * Adds a request's expected time to the utilization of an upstream.
 *
 * @param before - the utilization before, undefined when there is none
 * @param workMs - expected time of a request that was admitted, ms
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
		? before.workMs * Math.exp((before.at - now) / windowMs)
		: 0;
	return {workMs: rest + workMs, at: now};
}

/**
 * Reads the share of an upstream's slots that is taken up.
 *
 * @param utilization - the utilization, undefined when there is none
 * @param slots - slots of the upstream
 * @param now - monotonic ms
 * @returns the share, above 1 in overload
 * @example
 * readUtilization({workMs: 3000, at: 0}, 6, 0); // 0.5
 */
export function readUtilization(
	utilization: Utilization | undefined,
	slots: number,
	now: number,
): number {
	return stepUtilization(utilization, 0, now).workMs / windowMs / slots;
}
