import assert from 'node:assert/strict';
import test from 'node:test';
import {pickNextTeam} from './pick-next-team.js';

type Row = readonly [
	name: string,
	inFlight: number,
	startTags: Readonly<Record<string, number>>,
	uses: Readonly<Record<string, number>>,
	expected: string | undefined,
];

const rows: readonly Row[] = [
	['a team by itself uses all slots', 5, {a: 3}, {a: 100}, 'a'],
	[
		'nothing when all slots are in use',
		6,
		{a: 3, b: 1},
		{a: 9, b: 1},
		undefined,
	],
	['the lowest start tag first', 0, {a: 3, b: 1}, {a: 9, b: 1}, 'b'],
	['a heavy team below the reserve', 4, {a: 1, b: 2}, {a: 90, b: 10}, 'a'],
	['a heavy team leaves the reserve', 5, {a: 1}, {a: 90, b: 10}, undefined],
	['a blocked team blocks no other', 5, {a: 1, b: 2}, {a: 90, b: 10}, 'b'],
	['equal teams use all slots', 5, {a: 1, b: 2}, {a: 10, b: 10}, 'a'],
	['a team of long ago reserves nothing', 5, {a: 1}, {a: 90, b: 0.4}, 'a'],
	['nobody waits', 0, {}, {a: 90, b: 10}, undefined],
];

for (const [name, inFlight, startTags, uses, expected] of rows) {
	test(`pickNextTeam: ${name}`, () => {
		const input = {
			slots: 6,
			inFlight,
			startTags: new Map(Object.entries(startTags)),
			uses: new Map(Object.entries(uses)),
		};
		assert.equal(pickNextTeam(input), expected);
	});
}
