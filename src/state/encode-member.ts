import type {Member, MemberRecord} from '../protocol/member.js';

/**
 * Encodes a member as the record that is sent, with ages in place of times.
 *
 * @param member - the member
 * @param now - the own monotonic time, ms
 * @returns the record
 * @example
 * encodeMember({...member, upstreams: []}, 0).upstreams; // []
 */
export function encodeMember(member: Member, now: number): MemberRecord {
	return {
		...member,
		upstreams: member.upstreams.map(({since, ...rest}) => ({
			...rest,
			ageMs: Math.max(0, Math.round(now - since)),
		})),
	};
}
