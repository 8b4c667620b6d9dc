import type {Member} from '../protocol/member.js';
import type {MemberTable} from './member-table.js';

/**
 * Lists the members of a table.
 *
 * @param table - the known members
 * @param dataCentre - data centre whose members are listed; all when absent
 * @returns the members, in no particular order
 * @example
 * listMembers(new Map()); // []
 */
export function listMembers(
	table: MemberTable,
	dataCentre?: string,
): readonly Member[] {
	const groups =
		dataCentre === undefined
			? [...table.values()]
			: [table.get(dataCentre) ?? []];
	return groups.flatMap((buckets) =>
		buckets.flatMap(({members}) => [...members.values()]),
	);
}
