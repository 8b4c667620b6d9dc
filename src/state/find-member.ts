import type {Member} from '../protocol/member.js';
import {computeHash} from './_lib/compute-hash.js';
import {bucketsPerDataCentre, type MemberTable} from './member-table.js';

/**
 * Finds a member by name.
 *
 * @param table - the known members
 * @param name - the member's name
 * @returns the member, or undefined when there is none
 * @example
 * findMember(new Map(), 'abdali-1'); // undefined
 */
export function findMember(
	table: MemberTable,
	name: string,
): Member | undefined {
	const bucket = computeHash(name) % bucketsPerDataCentre;
	for (const buckets of table.values()) {
		const member = buckets[bucket]?.members.get(name);
		if (member) {
			return member;
		}
	}

	return undefined;
}
