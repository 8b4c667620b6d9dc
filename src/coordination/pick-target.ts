import type {RouteTarget} from '../protocol/routing-document.js';

/** Fraction of the golden ratio; its multiples spread evenly over 0 to 1. */
const goldenFraction = (Math.sqrt(5) - 1) / 2;

/**
 * Picks the service of a request on a route that is shared by weight.
 *
 * The numbers of successive requests fall evenly between the targets, so that
 * the shares hold over short times too, unlike with independent draws.
 *
 * @param targets - services with their weights; not empty
 * @param number - number of the request on its route, from any start
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
