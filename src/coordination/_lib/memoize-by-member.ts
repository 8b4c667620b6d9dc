import type {Member} from '../../protocol/member.js';

/**
 * Memoizes a function of a member's record, so that the cost of a new view is
 * proportional to the number of records that changed.
 *
 * @param compute - the function; must depend on the record only
 * @returns the memoized function; a result is kept as long as its record
 */
export function memoizeByMember<T>(
	compute: (member: Member) => T,
): (member: Member) => T {
	const results = new WeakMap<Member, {readonly value: T}>();
	return (member) => {
		const known = results.get(member);
		if (known) {
			return known.value;
		}

		const value = compute(member);
		results.set(member, {value});
		return value;
	};
}
