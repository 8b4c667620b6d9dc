import {maxUpstreamAgeMs} from '../protocol/constants.js';
import type {Member, MemberRecord} from '../protocol/member.js';
import {decodeDepartures} from './decode-departures.js';

/**
 * Decodes a received record; ages are converted to times of the local clock.
 *
 * @param record - the record received
 * @param now - local monotonic ms
 * @returns the member
 * @example
 * decodeMember({...record, upstreams: []}, 0).upstreams; // []
 */
export function decodeMember(record: MemberRecord, now: number): Member {
	const {departures = [], ...rest} = record;
	return {
		...rest,
		...(departures.length > 0 && {
			departures: decodeDepartures(departures, now),
		}),
		upstreams: record.upstreams.map(({ageMs, ...rest}) => ({
			...rest,
			since: now - Math.min(ageMs, maxUpstreamAgeMs),
		})),
	};
}
