import type {Member} from '../protocol/member.js';
import {computeHash} from './_lib/compute-hash.js';
import {findMember} from './find-member.js';
import {
	bucketsPerDataCentre,
	type MemberBucket,
	type MemberTable,
} from './member-table.js';

const hashRange = 2 ** 32;

type MutableMemberTable = Map<string, MemberBucket[]>;

function computeRecordHash(member: Member | undefined): number {
	if (!member || member.state === 'dead' || member.state === 'left') {
		return 0;
	}

	const {name, incarnation, sequence} = member;
	return computeHash(`${name} ${incarnation} ${sequence}`);
}

function setMember(
	draft: MutableMemberTable,
	dataCentre: string,
	name: string,
	member: Member | undefined,
): void {
	const buckets =
		draft.get(dataCentre) ??
		Array.from({length: bucketsPerDataCentre}, () => ({
			members: new Map<string, Member>(),
			digest: 0,
		}));
	const index = computeHash(name) % bucketsPerDataCentre;
	const bucket = buckets[index]!;
	const before = bucket.members.get(name);
	const members = new Map(bucket.members);
	if (member) {
		members.set(name, member);
	} else {
		members.delete(name);
	}

	const change = computeRecordHash(member) - computeRecordHash(before);
	const digest = (bucket.digest + change + hashRange) % hashRange;
	draft.set(dataCentre, buckets.with(index, {members, digest}));
}

/**
 * Inserts member records into a table, in place of earlier records.
 *
 * @param table - the known members; not modified
 * @param members - the new records
 * @param removed - names of members to remove
 * @returns the new table
 * @example
 * putMembers(new Map(), [member]).size; // 1
 */
export function putMembers(
	table: MemberTable,
	members: readonly Member[],
	removed: readonly string[] = [],
): MemberTable {
	const draft: MutableMemberTable = new Map(
		[...table].map(([dataCentre, buckets]) => [dataCentre, [...buckets]]),
	);
	for (const name of removed) {
		const known = findMember(draft, name);
		if (known) {
			setMember(draft, known.dataCentre, name, undefined);
		}
	}

	for (const member of members) {
		const known = findMember(draft, member.name);
		if (known && known.dataCentre !== member.dataCentre) {
			setMember(draft, known.dataCentre, member.name, undefined);
		}

		setMember(draft, member.dataCentre, member.name, member);
	}

	return draft;
}
