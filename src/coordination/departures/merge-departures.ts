import {maxUpstreamsPerHost} from '../../protocol/constants.js';
import type {Departure} from '../../protocol/member.js';

/** Tells whether a departure says more than another one of the same id. */
function isLater(departure: Departure, other: Departure): boolean {
	return departure.incarnation === other.incarnation
		? departure.endsAt > other.endsAt
		: departure.incarnation > other.incarnation;
}

/**
 * Merges departures of one host, of which each id occurs once afterwards, with its
 * latest incarnation. Those that have ended are left out, and the earliest to end
 * if there are too many.
 *
 * @param departures - the departures, in any order
 * @param now - monotonic ms
 * @returns the merged departures, the last to end first
 * @example
 * mergeDepartures([{id: 'u', incarnation: 1, address: '', endsAt: 9}], 10); // []
 */
export function mergeDepartures(
	departures: readonly Departure[],
	now: number,
): readonly Departure[] {
	const merged = new Map<string, Departure>();
	for (const departure of departures) {
		const other = merged.get(departure.id);
		if (departure.endsAt > now && (!other || isLater(departure, other))) {
			merged.set(departure.id, departure);
		}
	}

	return [...merged.values()]
		.toSorted((a, b) => b.endsAt - a.endsAt)
		.slice(0, maxUpstreamsPerHost);
}
