import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../harness/create-sample-member.js';
import type {Member} from '../protocol/member.js';
import {computeBridges} from './compute-bridges.js';

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

function repeat(count: number, capacity: number | undefined) {
	return Array.from({length: count}, () => capacity);
}

test('the chance of a member to be the first bridge is proportional to its capacity', () => {
	const draws = 1000;
	let largeFirstCount = 0;
	for (let draw = 0; draw < draws; draw++) {
		const [first] = computeBridges(
			createMembers(draw, [...repeat(20, 5), ...repeat(2, 100)]),
		);
		largeFirstCount += first?.capacity === 100 ? 1 : 0;
	}

	// Two members of capacity 100 and twenty of capacity 5.
	const chance = 200 / 300;
	const deviation = Math.sqrt(draws * chance * (1 - chance));
	assert.ok(
		Math.abs(largeFirstCount - draws * chance) < 3 * deviation,
		String(largeFirstCount),
	);
});

test('a member without a capacity counts as one of usual capacity', () => {
	const unstated = createMembers(1, repeat(12, undefined));
	const usual = createMembers(1, repeat(12, 1000));
	assert.deepEqual(
		computeBridges(unstated).map(({name}) => name),
		computeBridges(usual).map(({name}) => name),
	);
});

test('a member that leaves changes no other bridge', () => {
	const members = createMembers(1, [...repeat(20, 5), ...repeat(2, 100)]);
	const bridges = computeBridges(members);
	for (const leaver of members) {
		const after = computeBridges(members.filter((member) => member !== leaver));
		const kept = bridges.filter((member) => member !== leaver);
		assert.deepEqual(after.slice(0, kept.length), kept);
	}
});
