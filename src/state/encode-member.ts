import {referenceCapacity} from '../protocol/constants.js';
import type {Member, MemberRecord} from '../protocol/member.js';

/**
 * Encodes a member as the record that is sent, with ages in place of times.
 *
 * The usual capacity is left out, as nodes that know of none refuse the field.
 *
 * @param member - the member
 * @param now - the own monotonic time, ms
 * @returns the record
 * @example
 * encodeMember({...member, upstreams: []}, 0).upstreams; // []
 */
export function encodeMember(member: Member, now: number): MemberRecord {
	const {capacity = referenceCapacity, upstreams, ...rest} = member;
	return {
		...rest,
		...(capacity === referenceCapacity ? {} : {capacity}),
		upstreams: upstreams.map(({since, ...upstream}) => ({
			...upstream,
			ageMs: Math.max(0, Math.round(now - since)),
		})),
	};
}
