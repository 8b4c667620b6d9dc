import type {Candidate} from '../protocol/member.js';
import {computeWeight} from './_lib/compute-weight.js';

/**
 * Picks the host for all requests with one idempotency key, by rendezvous
 * hashing (Thaler and Ravishankar, 1998).
 *
 * Requests with the same key reach the same ledger as long as the host with the
 * highest weight remains a candidate.
 *
 * @param candidates - hosts with a ready upstream of the service
 * @param key - the idempotency key with its team and service
 * @returns the host, or undefined when there is none
 * @example
 * pickKeyHost([], 'kitchens/payables/4711'); // undefined
 */
export function pickKeyHost(
	candidates: readonly Candidate[],
	key: string,
): Candidate | undefined {
	let best: Candidate | undefined;
	let bestWeight = '';
	for (const candidate of candidates) {
		const weight = computeWeight(candidate.host, key);
		if (weight > bestWeight) {
			best = candidate;
			bestWeight = weight;
		}
	}

	return best;
}
