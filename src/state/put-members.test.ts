import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type {Member} from '../protocol/member.js';
import {findMember} from './find-member.js';
import {listMembers} from './list-members.js';
import type {MemberTable} from './member-table.js';
import {putMembers} from './put-members.js';

const memberArbitrary: fc.Arbitrary<Member> = fc.record({
	name: fc.constantFrom('a', 'b', 'c', 'd'),
	dataCentre: fc.constantFrom('abdali', 'marka'),
	address: fc.constant('10.0.0.1:1'),
	incarnation: fc.nat(3),
	sequence: fc.nat(3),
	state: fc.constantFrom('alive', 'suspect', 'dead', 'left'),
	upstreams: fc.constant([]),
});

function listDigests(table: MemberTable): readonly string[] {
	return [...table]
		.flatMap(([name, buckets]) =>
			buckets.map(({digest}, index) => `${name} ${index} ${digest}`),
		)
		.filter((line) => !line.endsWith(' 0'))
		.toSorted((a, b) => a.localeCompare(b));
}

test('digests depend only on the current members, not on earlier records', () => {
	fc.assert(
		fc.property(fc.array(memberArbitrary, {maxLength: 20}), (records) => {
			let table: MemberTable = new Map();
			const last = new Map<string, Member>();
			for (const record of records) {
				table = putMembers(table, [record]);
				last.set(record.name, record);
			}

			for (const [name, member] of last) {
				assert.equal(findMember(table, name), member);
			}

			assert.equal(listMembers(table).length, last.size);
			const direct = putMembers(new Map(), [...last.values()]);
			assert.deepEqual(listDigests(table), listDigests(direct));
			const emptied = putMembers(table, [], [...last.keys()]);
			assert.deepEqual(listDigests(emptied), []);
		}),
		{seed: 6, numRuns: 300},
	);
});
