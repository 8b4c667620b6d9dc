import type {Member} from '../../protocol/member.js';

/**
 * Memoizes a function of a member's record: computed once for each record, so
 * that the work of a new view follows the number of records that changed.
 *
 * @param compute - the function; depends on nothing but the record
 * @returns the function with its results kept as long as their records
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
