import type {Departure, DepartureRecord} from '../protocol/member.js';

/**
 * Encodes upstreams that have left their host, to be sent; those of which no late
 * announcement can arrive any more are left out.
 *
 * @param departures - the upstreams
 * @param now - local monotonic ms
 * @returns the records
 * @example
 * encodeDepartures([{id: 'u', incarnation: 1, address: '', endsAt: 9}], 4)[0].remainingMs; // 5
 */
export function encodeDepartures(
	departures: readonly Departure[],
	now: number,
): DepartureRecord[] {
	return departures
		.filter(({endsAt}) => endsAt > now)
		.map(({endsAt, ...departure}) => ({
			...departure,
			remainingMs: Math.ceil(endsAt - now),
		}));
}
