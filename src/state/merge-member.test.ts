import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import type {Member} from '../protocol/member.js';
import {mergeMember} from './merge-member.js';

const memberArbitrary: fc.Arbitrary<Member> = fc
	.record({
		incarnation: fc.integer({min: 0, max: 2}),
		sequence: fc.integer({min: 0, max: 2}),
		state: fc.constantFrom('alive', 'suspect', 'dead', 'left'),
	})
	.map((version) => ({
		...version,
		name: 'abdali-1',
		dataCentre: 'abdali',
		address: `10.0.0.${version.incarnation}:${version.sequence + 1}`,
		upstreams: [],
	}));

test('the result of a merge does not depend on the order or number of records', () => {
	fc.assert(
		fc.property(
			fc.array(memberArbitrary, {minLength: 1, maxLength: 5}),
			(records) => {
				const merge = (list: readonly Member[]) => {
					let merged: Member | undefined;
					for (const record of list) {
						merged = mergeMember(merged, record);
					}

					return merged;
				};

				const mixed = [...records, ...records.toReversed(), records[0]!];
				assert.deepEqual(merge(mixed), merge(records));
				assert.deepEqual(merge(records.toReversed()), merge(records));
			},
		),
		{seed: 6, numRuns: 500},
	);
});

test('records of an ended incarnation do not revive the member', () => {
	fc.assert(
		fc.property(memberArbitrary, memberArbitrary, (a, b) => {
			const merged = mergeMember({...a, state: 'dead'}, b);
			assert.ok(
				b.incarnation > a.incarnation ||
					merged.state === 'dead' ||
					merged.state === 'left',
			);
		}),
		{seed: 6, numRuns: 500},
	);
});
