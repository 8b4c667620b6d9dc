import type {Candidate} from '../src/protocol/member.js';

/**
 * Picks a host at random, whatever is known of its load.
 *
 * @param candidates - hosts with a ready upstream of the service
 * @param random - source of numbers from 0 up to 1
 * @returns the host, or undefined when there is none
 * @example
 * pickRandomHost(candidates, Math.random);
 */
export function pickRandomHost(
	candidates: readonly Candidate[],
	random: () => number,
): Candidate | undefined {
	return candidates[Math.floor(random() * candidates.length)];
}
