/**
 * Minimum rate, requests a second: an upstream that receives no requests cannot
 * report that its limit has ended.
 */
const minPerSecond = 0.5;

/**
 * Computes the rate at which requests are sent to a rate-limited upstream.
 *
 * @param perSecond - the limit that the upstream has reported, requests a second
 * @returns requests a second; above 0
 * @example
 * computeUsableRate(12.6); // 12.6
 */
export function computeUsableRate(perSecond: number): number {
	return Math.max(minPerSecond, perSecond);
}
