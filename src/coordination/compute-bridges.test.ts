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

test('the first bridge has the chance of its capacity', () => {
	const draws = 1000;
	let strong = 0;
	for (let draw = 0; draw < draws; draw++) {
		const [first] = computeBridges(
			createMembers(draw, [...repeat(20, 5), ...repeat(2, 100)]),
		);
		strong += first?.capacity === 100 ? 1 : 0;
	}

	// Two strong ones of 100 beside twenty of 5.
	const chance = 200 / 300;
	const deviation = Math.sqrt(draws * chance * (1 - chance));
	assert.ok(Math.abs(strong - draws * chance) < 3 * deviation, String(strong));
});

test('a capacity that is not said counts as usual', () => {
	const silent = createMembers(1, repeat(12, undefined));
	const usual = createMembers(1, repeat(12, 1000));
	assert.deepEqual(
		computeBridges(silent).map(({name}) => name),
		computeBridges(usual).map(({name}) => name),
	);
});

test('a member that goes replaces no bridge but itself', () => {
	const members = createMembers(1, [...repeat(20, 5), ...repeat(2, 100)]);
	const bridges = computeBridges(members);
	for (const gone of members) {
		const after = computeBridges(members.filter((member) => member !== gone));
		const kept = bridges.filter((member) => member !== gone);
		assert.deepEqual(after.slice(0, kept.length), kept);
	}
});
