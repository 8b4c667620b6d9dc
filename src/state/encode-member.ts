import {maxUpstreamAgeMs, referenceCapacity} from '../protocol/constants.js';
import type {Member, MemberRecord} from '../protocol/member.js';
import {encodeDepartures} from './encode-departures.js';

/**
 * Encodes a member as a record to be sent; times are converted to ages.
 *
 * The reference capacity is omitted, as it is the default.
 *
 * @param member - the member
 * @param now - local monotonic ms
 * @returns the record
 * @example
 * encodeMember({...member, upstreams: []}, 0).upstreams; // []
 */
export function encodeMember(member: Member, now: number): MemberRecord {
	const {
		capacity = referenceCapacity,
		upstreams,
		departures = [],
		...rest
	} = member;
	const left = encodeDepartures(departures, now);
	return {
		...rest,
		...(left.length > 0 && {departures: left}),
		...(capacity === referenceCapacity ? {} : {capacity}),
		upstreams: upstreams.map(({since, ...upstream}) => ({
			...upstream,
			ageMs: Math.min(maxUpstreamAgeMs, Math.max(0, Math.round(now - since))),
		})),
	};
}
