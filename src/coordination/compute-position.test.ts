import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createSampleMember} from '../../harness/create-sample-member.js';
import type {Member} from '../protocol/member.js';
import {computePosition} from './compute-position.js';
import {computeRoots} from './compute-roots.js';

function createMembers(
	draw: number,
	capacities: ReadonlyArray<number | undefined>,
): Member[] {
	return capacities.map((capacity, index) =>
		createSampleMember({
			name: `sidecar-${draw}-${index}`,
			address: `10.0.0.${index}:8081`,
			capacity,
		}),
	);
}

function repeat(count: number, capacity: number): number[] {
	return Array.from({length: count}, () => capacity);
}

/** Lists the first parent of each child by the child's name. */
function listParents(members: readonly Member[]): ReadonlyMap<string, Member> {
	return new Map(
		members.flatMap((member) => {
			const position = computePosition(members, member);
			return position.kind === 'child'
				? [[member.name, position.parents[0]!] as const]
				: [];
		}),
	);
}

function countChildren(
	members: readonly Member[],
): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const {name} of listParents(members).values()) {
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return counts;
}

/**
 * Computes when the last member has received a document, s: a parent forwards the
 * complete document to all children at once, limited by the rate of each link.
 */
function computeLastArrival(
	members: readonly Member[],
	megabits: number,
): number {
	const parents = listParents(members);
	const children = countChildren(members);
	const arrive = (member: Member): number => {
		const parent = parents.get(member.name);
		const ownRate = member.capacity!;
		return parent
			? arrive(parent) +
					megabits /
						Math.min(ownRate, parent.capacity! / children.get(parent.name)!)
			: megabits / ownRate;
	};

	return Math.max(...members.map((member) => arrive(member)));
}

const weakAndStrong = [...repeat(20, 5), ...repeat(2, 100)];

test('hosts with low-bandwidth links are neither roots nor parents', () => {
	for (let draw = 0; draw < 50; draw++) {
		const members = createMembers(draw, weakAndStrong);
		const roots = computeRoots(members, 'abdali');
		const feeding = [...roots, ...listParents(members).values()];
		assert.deepEqual(
			[...new Set(feeding.map(({capacity}) => capacity))],
			[100],
		);
	}
});

test('a document of 400 KB reaches hosts with low-bandwidth links within 2.5 s', () => {
	for (let draw = 0; draw < 50; draw++) {
		const lastAt = computeLastArrival(createMembers(draw, weakAndStrong), 3.2);
		assert.ok(lastAt < 2.5, `draw ${draw}: ${lastAt} s`);
	}
});

test('a host is the first root as often as others of its capacity', () => {
	const draws = 400;
	let isFirst = 0;
	for (let draw = 0; draw < draws; draw++) {
		const members = createMembers(draw, repeat(8, 540));
		const [root] = computeRoots(members, 'abdali');
		isFirst += root?.name === members[0]!.name ? 1 : 0;
	}

	const expected = draws / 8;
	assert.ok(Math.abs(isFirst - expected) < 3 * Math.sqrt(expected));
});

test('hosts without a reported capacity have at most four children', () => {
	for (const count of [3, 10, 24, 100]) {
		const members = createMembers(
			count,
			Array.from({length: count}, () => undefined),
		);
		const children = countChildren(members);
		assert.ok(Math.max(...children.values()) <= 4);
	}
});

test('every member is below a root and no parent has too many children', () => {
	fc.assert(
		fc.property(
			fc.array(fc.constantFrom(1, 4, 5, 100, 540, 65_535), {
				minLength: 1,
				maxLength: 120,
			}),
			(capacities) => {
				const members = createMembers(0, capacities);
				const parents = listParents(members);
				const roots = new Set(
					computeRoots(members, 'abdali').map(({name}) => name),
				);
				for (const {name} of members) {
					let above = name;
					let levels = 0;
					while (!roots.has(above)) {
						above = parents.get(above)!.name;
						levels++;
						assert.ok(levels < members.length);
					}
				}

				for (const count of countChildren(members).values()) {
					assert.ok(count <= 64);
				}
			},
		),
		{seed: 6, numRuns: 100},
	);
});

test('removing a low-capacity member changes the parent of at most one other', () => {
	for (let draw = 0; draw < 20; draw++) {
		const members = createMembers(draw, weakAndStrong);
		const before = listParents(members);
		for (const gone of members.filter(({capacity}) => capacity === 5)) {
			const after = listParents(members.filter((member) => member !== gone));
			const moved = [...after].filter(
				([name, {name: parent}]) => before.get(name)?.name !== parent,
			);
			assert.ok(moved.length <= 1, `${moved.length} moved`);
		}
	}
});
