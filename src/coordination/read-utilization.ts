import {
	stepUtilization,
	utilizationWindowMs,
	type Utilization,
} from './step-utilization.js';

/**
 * Reads the share of an upstream's slots that is in use.
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
	return (
		stepUtilization(utilization, 0, now).workMs / utilizationWindowMs / slots
	);
}
