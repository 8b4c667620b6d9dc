import type {ServedShares} from './step-served-shares.js';

/** Lowest share of new work that takes a slot, as a ratio of the share of all attempts. */
const minShareRatio = 0.25;

/** Arrivals of new work below which its share says nothing. */
const minArrivals = 4;

/**
 * Tells whether nested calls have left new work less than a quarter of the share
 * of all. Nested calls then go by their priority like other attempts, and the
 * nodes that make them begin fewer runs.
 *
 * Load pattern: as for `stepServedShares`.
 *
 * @param shares - counts of attempts; undefined when there are none
 * @returns true when it is
 * @example
 * isNewWorkStarved(undefined); // false
 */
export function isNewWorkStarved(shares: ServedShares | undefined): boolean {
	if (!shares || shares.newArrived < minArrivals) {
		return false;
	}

	const {arrived, started, newArrived, newStarted} = shares;
	return newStarted / newArrived < (minShareRatio * started) / arrived;
}
