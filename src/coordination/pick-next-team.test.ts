import assert from 'node:assert/strict';
import test from 'node:test';
import {pickNextTeam} from './pick-next-team.js';

type Activity = Readonly<Record<string, readonly [use: number, own: number]>>;

type Row = readonly [
	name: string,
	startTags: Readonly<Record<string, number>>,
	teams: Activity,
	expected: string | undefined,
];

const rows: readonly Row[] = [
	['a team by itself uses all slots', {a: 3}, {a: [100, 5]}, 'a'],
	[
		'no team if all slots are in use',
		{a: 3, b: 1},
		{a: [9, 5], b: [9, 1]},
		undefined,
	],
	[
		'the team with the lowest start tag',
		{a: 3, b: 1},
		{a: [9, 0], b: [1, 0]},
		'b',
	],
	[
		'a team above its share may use slots below the reserve',
		{a: 1},
		{a: [90, 4], b: [9, 0]},
		'a',
	],
	[
		'a team above its share gets no reserved slot',
		{a: 1},
		{a: [90, 5], b: [9, 0]},
		undefined,
	],
	[
		'a team above its share does not block others',
		{a: 1, b: 2},
		{a: [90, 5], b: [9, 0]},
		'b',
	],
	[
		'a team below its share gets a reserved slot',
		{a: 1},
		{a: [90, 2], b: [9, 3]},
		'a',
	],
	[
		'a team with high use but nothing in flight gets a reserved slot',
		{a: 2, b: 1},
		{a: [90, 0], b: [9, 5]},
		'a',
	],
	[
		'no slot is reserved for inactive teams',
		{a: 1},
		{a: [90, 5], b: [0.4, 0]},
		'a',
	],
	['no team if nothing waits', {}, {a: [90, 1], b: [9, 0]}, undefined],
];

for (const [name, startTags, teams, expected] of rows) {
	test(`pickNextTeam: ${name}`, () => {
		const activities = Object.entries(teams).map(
			([team, [use, inFlight]]) => [team, {use, inFlight}] as const,
		);
		let total = 0;
		for (const [, {inFlight}] of activities) {
			total += inFlight;
		}

		const input = {
			slots: 6,
			inFlight: total,
			startTags: new Map(Object.entries(startTags)),
			teams: new Map(activities),
		};
		assert.equal(pickNextTeam(input), expected);
	});
}
