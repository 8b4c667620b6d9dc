import type {RouteTarget} from '../protocol/routing-document.js';

/** Fractional part of the golden ratio; the fractional parts of its multiples are evenly distributed over [0, 1). */
const goldenFraction = (Math.sqrt(5) - 1) / 2;

/**
 * Picks the service for a request on a route with weighted targets.
 *
 * Successive request numbers are distributed evenly over the targets, so that
 * the shares also hold over short periods, unlike with independent random draws.
 *
 * @param targets - services with their weights; not empty
 * @param number - sequence number of the request on its route, starting anywhere
 * @returns the service
 * @example
 * pickTarget([{service: 'a', weight: 9}, {service: 'b', weight: 1}], 0); // 'a'
 */
export function pickTarget(
	targets: readonly RouteTarget[],
	number: number,
): string {
	let sum = 0;
	for (const {weight} of targets) {
		sum += weight;
	}

	let rest = ((number * goldenFraction) % 1) * sum;
	for (const {service, weight} of targets) {
		rest -= weight;
		if (rest < 0) {
			return service;
		}
	}

	return targets[0]!.service;
}
