import {maxDepartureMs} from '../protocol/constants.js';
import type {Departure, DepartureRecord} from '../protocol/member.js';

/**
 * Decodes received records of upstreams that have left their host; times are
 * converted to the local clock.
 *
 * @param records - the records received
 * @param now - local monotonic ms
 * @returns the upstreams
 * @example
 * decodeDepartures([{id: 'u', incarnation: 1, address: '', remainingMs: 5}], 4)[0].endsAt; // 9
 */
export function decodeDepartures(
	records: readonly DepartureRecord[],
	now: number,
): readonly Departure[] {
	return records.map(({remainingMs, ...departure}) => ({
		...departure,
		endsAt: now + Math.min(remainingMs, maxDepartureMs),
	}));
}
