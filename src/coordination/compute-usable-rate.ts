/**
 * Least rate that is used, requests a second: an upstream that gets nothing
 * can't say that its limit has ended.
 */
const minPerSecond = 0.5;

/**
 * Computes the rate at which requests are sent to an upstream that limits it.
 *
 * @param perSecond - the rate that the upstream has named, requests a second
 * @returns requests a second; above 0
 * @example
 * computeUsableRate(12.6); // 12.6
 */
export function computeUsableRate(perSecond: number): number {
	return Math.max(minPerSecond, perSecond);
}
