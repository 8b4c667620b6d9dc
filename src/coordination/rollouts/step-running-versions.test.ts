import assert from 'node:assert/strict';
import test from 'node:test';
import * as fc from 'fast-check';
import {createSampleMember} from '../../../harness/create-sample-member.js';
import type {Member} from '../../protocol/member.js';
import {listRunningVersions} from './list-running-versions.js';
import {mergeRunningVersions} from './merge-running-versions.js';
import {
	stepRunningVersions,
	type KnownOrder,
	type ServiceVersions,
} from './step-running-versions.js';

type Versions = ReadonlyMap<string, ServiceVersions>;

const service = 'profiles';

/** Creates members, each with one upstream of the version that started at a time; without a version it announces none. */
function createMembers(
	upstreams: ReadonlyArray<readonly [string | undefined, number]>,
): readonly Member[] {
	return upstreams.map(([version, since], index) =>
		createSampleMember({
			name: `node-${index}`,
			upstreams: [
				{
					id: `up-${index}`,
					service,
					slots: 4,
					state: 'ready',
					since,
					...(version !== undefined && {version}),
				},
			],
		}),
	);
}

/** Steps the versions at times, by the upstreams that are seen then. */
function run(
	before: Versions,
	views: ReadonlyArray<
		readonly [
			now: number,
			upstreams: Parameters<typeof createMembers>[0],
			order?: Omit<KnownOrder, 'service'>,
		]
	>,
): Versions {
	let versions = before;
	for (const [now, upstreams, order] of views) {
		versions = stepRunningVersions(versions, {
			members: createMembers(upstreams),
			orders: order ? [{...order, service}] : [],
			isSettled: true,
			now,
		});
	}

	return versions;
}

function read(versions: Versions): string | undefined {
	return versions.get(service)?.running?.version;
}

const active = {target: 'v2', state: 'active'} as const;
const none: Versions = new Map();

test('the version with the oldest upstream runs, in whatever order the upstreams are seen', () => {
	const versions = run(none, [
		[5000, [['v2', 4000]]],
		[
			5010,
			[
				['v2', 4000],
				['v1', 1000],
			],
		],
	]);
	assert.equal(read(versions), 'v1');
});

test('a version that ran alone still runs when all its upstreams have been replaced or state odd starts', () => {
	const versions = run(none, [
		[0, [['v1', 0]]],
		[4000, [['v1', 0]]],
		[
			5000,
			[
				['v1', 0],
				['v2', 4900],
			],
		],
		[
			9000,
			[
				['v1', 8000],
				['v2', 4900],
			],
		],
		[
			9500,
			[
				['v1', 8000],
				['v2', -1e9],
			],
		],
	]);
	assert.equal(read(versions), 'v1');
	assert.equal(versions.get(service)?.isRestricted, true);
});

test('a version whose upstreams are gone for some seconds gives way, and not before', () => {
	const replaced = run(none, [
		[0, [['v1', 0]]],
		[
			4000,
			[
				['v1', 0],
				['v3', 3900],
			],
		],
		[5000, [['v3', 3900]]],
	]);
	assert.equal(read(replaced), 'v1');
	assert.equal(replaced.get(service)?.isRestricted, true);
	const later = run(replaced, [[7100, [['v3', 3900]]]]);
	assert.equal(read(later), 'v3');
	assert.equal(later.get(service)?.isRestricted, false);
});

test('the target of an order runs only once the order is completed, also alone', () => {
	const started = run(none, [[0, [['v2', 0]], active]]);
	assert.equal(read(started), undefined);
	assert.equal(started.get(service)?.isRestricted, true);
	const completed = {target: 'v2', state: 'completed'} as const;
	const ended = run(started, [
		[
			10,
			[
				['v2', 0],
				['v1', -9],
			],
			completed,
		],
	]);
	assert.equal(read(ended), 'v2');
	// The next order names another target, while an upstream of the first version has not stopped yet.
	const next = {target: 'v3', state: 'active'} as const;
	assert.equal(
		read(
			run(ended, [
				[
					20,
					[
						['v2', 0],
						['v1', -9],
					],
					next,
				],
			]),
		),
		'v2',
	);
});

test('upstreams without a version get requests as long as there is nothing to tell apart', () => {
	const isRestricted = (order?: Omit<KnownOrder, 'service'>): boolean =>
		run(none, [[0, [[undefined, 0]], order]]).get(service)!.isRestricted;
	assert.equal(isRestricted(), false);
	assert.equal(isRestricted(active), true);
});

test('nodes that tell each other what runs agree, and one that knows it from before prevails', () => {
	const guess = fc.record({
		version: fc.constantFrom('v1', 'v2', 'v3'),
		since: fc.integer({min: -9000, max: 0}),
	});
	fc.assert(
		fc.property(fc.array(guess, {minLength: 2, maxLength: 6}), (guesses) => {
			const witness = run(none, [
				[-9000, [['v1', -9000]]],
				[
					-5000,
					[
						['v1', -9000],
						['v2', -5000],
					],
				],
			]);
			const all: Versions[] = [
				witness,
				...guesses.map(({version, since}) =>
					run(none, [[0, [[version, since]]]]),
				),
			];
			for (let round = 0; round < 2; round++) {
				for (let to = 0; to < all.length; to++) {
					for (const from of all) {
						const told = listRunningVersions(from, 0);
						const context = {isSettled: true, now: 0};
						all[to] = mergeRunningVersions(all[to]!, told, context);
					}
				}
			}

			assert.deepEqual(
				new Set(all.map((versions) => read(versions))),
				new Set(['v1']),
			);
		}),
		{seed: 65, numRuns: 200},
	);
});
