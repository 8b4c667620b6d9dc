import type {Member, MemberRecord} from '../protocol/member.js';

/**
 * Decodes a received record, with times on the own clock in place of ages.
 *
 * @param record - the record received
 * @param now - the own monotonic time, ms
 * @returns the member
 * @example
 * decodeMember({...record, upstreams: []}, 0).upstreams; // []
 */
export function decodeMember(record: MemberRecord, now: number): Member {
	return {
		...record,
		upstreams: record.upstreams.map(({ageMs, ...rest}) => ({
			...rest,
			since: now - ageMs,
		})),
	};
}
