import assert from 'node:assert/strict';
import test from 'node:test';
import type {
	Announcement,
	Exchange,
	MemberRecord,
	Sender,
} from '../protocol/member.js';
import {maxIncarnationAheadMs} from '../protocol/constants.js';
import {decodeMember} from '../state/decode-member.js';
import {listMembers} from '../state/list-members.js';
import {computeMembersView} from './compute-members-view.js';
import {createMembersState} from './create-members-state.js';
import type {
	MembersMessage,
	MembersState,
	MembersStep,
} from './members-state.js';
import {stepMembers} from './step-members.js';

const wallMs = 1_700_000_000_000;
const announcement: Announcement = {
	team: 'kitchens',
	service: 'pricebook',
	address: '10.0.0.1:9000',
	slots: 6,
	connections: 110,
	state: 'ready',
};
const record: MemberRecord = {
	name: 'abdali-2',
	dataCentre: 'abdali',
	address: '10.0.0.2:8081',
	incarnation: wallMs,
	sequence: 0,
	state: 'alive',
	upstreams: [],
};

function createState(): MembersState {
	const self = decodeMember(
		{...record, name: 'abdali-1', address: '10.0.0.1:8081'},
		0,
	);
	const state = createMembersState(self, 0, 0.5, {wallMs});
	return {...state, role: 'member'};
}

function step(state: MembersState, message: MembersMessage, now: number) {
	return stepMembers(state, message, now, () => 0.99);
}

function announce(
	state: MembersState,
	change: Partial<Announcement>,
	now: number,
): MembersStep {
	return step(
		state,
		{
			kind: 'announce',
			id: 'u',
			announcement: {...announcement, ...change},
		},
		now,
	);
}

function ping(records: readonly MemberRecord[], from: Partial<Sender> = {}) {
	const {name, dataCentre, address, incarnation, sequence} = record;
	const request: Exchange = {
		kind: 'ping',
		from: {
			name,
			dataCentre,
			address,
			incarnation,
			sequence,
			startedMs: wallMs,
			...from,
		},
		records: [...records],
	};
	return {kind: 'request' as const, request};
}

test('a leaving upstream does not become ready again within its incarnation', () => {
	const cases: ReadonlyArray<
		readonly [string, ReadonlyArray<Partial<Announcement> | 'withdraw'>, string]
	> = [
		['renewed', [{}, {}], 'ready'],
		['leaves', [{}, {state: 'leaving'}], 'leaving'],
		['late ready after leaving', [{}, {state: 'leaving'}, {}], 'leaving'],
		['late ready after withdrawal', [{}, 'withdraw', {}], ''],
		['new incarnation', [{}, {state: 'leaving'}, {incarnation: 2}], 'ready'],
		['new address', [{}, {state: 'leaving'}, {address: '10.0.0.1:9'}], 'ready'],
		[
			'old incarnation after the new',
			[{incarnation: 2}, {incarnation: 1, state: 'leaving'}],
			'ready',
		],
	];
	for (const [name, changes, expected] of cases) {
		let state = createState();
		for (const [index, change] of changes.entries()) {
			const now = 100 * index;
			state =
				change === 'withdraw'
					? step(state, {kind: 'withdraw', id: 'u'}, now).state
					: announce(state, change, now).state;
		}

		assert.equal(
			state.self.upstreams.map((upstream) => upstream.state).join(' '),
			expected,
			name,
		);
	}
});

// Regression: a node that had restarted acknowledged that an upstream was gone, and a late announcement added the upstream.
test('a late announcement does not add an upstream that was withdrawn before the node knew it', () => {
	const withdrawn = step(createState(), {kind: 'withdraw', id: 'u'}, 1000);
	const late = [{}, {incarnation: undefined}, {incarnation: wallMs - 9000}];
	for (const change of late) {
		const {state} = announce(withdrawn.state, change, 3000);
		assert.deepEqual(state.self.upstreams, []);
	}

	const started = {incarnation: wallMs + 2000};
	const {state} = announce(withdrawn.state, started, 3000);
	assert.equal(state.self.upstreams.length, 1);
});

test('withdrawals of unknown upstreams are kept in bounds', () => {
	let state = createState();
	for (let count = 0; count < 10_000; count++) {
		state = step(state, {kind: 'withdraw', id: `u${count}`}, count).state;
	}

	assert.ok(state.leases.size <= 64);
	assert.equal(announce(state, {}, 10_000).state.self.upstreams.length, 1);
});

test('an upstream is as old at a node that has restarted as it says', () => {
	const startedMs = wallMs - 60_000;
	const read = (change: Partial<Announcement>): number | undefined =>
		announce(createState(), change, 2000).state.self.upstreams[0]?.since;
	assert.equal(read({startedMs}), -60_000);
	assert.equal(read({startedMs: wallMs + 60_000}), 2000);
	assert.equal(read({}), 2000);
});

test('a process that resumes after a pause does not announce an expired lease', () => {
	const announced = announce(createState(), {}, 0).state;
	const asked = step(announced, ping([]), 4000);
	assert.deepEqual(asked.state.self.upstreams, []);
	const buffered = announce(asked.state, {}, 4000);
	assert.deepEqual(buffered.state.self.upstreams, []);
	const renewed = announce(buffered.state, {}, 5000);
	assert.equal(renewed.state.self.upstreams.length, 1);
});

test('a leaving upstream whose lease expired is not re-added in the same incarnation', () => {
	const announced = announce(createState(), {state: 'leaving'}, 0).state;
	const expired = step(announced, {kind: 'tick'}, 4000).state;
	assert.deepEqual(expired.self.upstreams, []);
	const late = announce(expired, {}, 6000).state;
	assert.deepEqual(late.self.upstreams, []);
	const next = announce(late, {incarnation: 2}, 6000).state;
	assert.equal(next.self.upstreams.length, 1);
});

test('claims about the local node are refuted at a bounded rate', () => {
	const claim = (incarnation: number): MemberRecord => ({
		...record,
		name: 'abdali-1',
		address: '10.0.0.1:8081',
		incarnation,
		state: 'suspect',
	});
	const first = step(createState(), ping([claim(wallMs)]), 10).state;
	assert.equal(first.self.incarnation, wallMs + 1);
	const second = step(first, ping([claim(wallMs + 1)]), 20).state;
	assert.equal(second.self.incarnation, wallMs + 1);
	const third = step(second, ping([claim(wallMs + 1)]), 1500).state;
	assert.equal(third.self.incarnation, wallMs + 2);
});

test('records with an incarnation too far in the future are dropped', () => {
	const future = {...record, incarnation: wallMs + 2 * maxIncarnationAheadMs};
	const {state} = step(createState(), ping([future]), 10);
	assert.deepEqual(listMembers(state.table), []);
});

test('the later of two live hosts with the same name is refused', () => {
	const rival = {name: 'abdali-1', address: '10.0.0.9:8081'};
	const earlier = step(
		createState(),
		ping([], {...rival, startedMs: wallMs + 5}),
		10,
	);
	assert.equal(earlier.state.role, 'member');
	const later = step(
		createState(),
		ping([], {...rival, startedMs: wallMs - 5}),
		10,
	);
	assert.equal(later.state.role, 'refused');
	assert.ok(later.effects.some(({kind}) => kind === 'log'));
});

test('a candidate is dated on the local clock, and suspect hosts are not candidates', () => {
	const upstream = {
		id: 'u',
		service: 'kitchens/pricebook',
		slots: 6,
		state: 'ready' as const,
		ageMs: 200,
	};
	const records: MemberRecord[] = [
		{...record, upstreams: [upstream]},
		{...record, name: 'abdali-3', upstreams: [upstream], state: 'suspect'},
	];
	const {state} = step(createState(), ping(records), 1000);
	const found = computeMembersView(state).candidates.get('kitchens/pricebook');
	assert.deepEqual(
		found?.map(({host, sinceMs}) => [host, sinceMs]),
		[['abdali-2', 800]],
	);
});

test('a node that learns that the store came back from a copy writes the missing addresses', () => {
	const records = ['abdali-2', 'abdali-3', 'abdali-4'].map((name, index) => ({
		...record,
		name,
		address: `10.0.0.${index + 2}:8081`,
	}));
	const missing = {
		kind: 'seeds',
		outcome: {
			kind: 'read',
			addresses: [],
			localAddresses: [],
			memberCount: 0,
			writtenMs: 0,
			version: undefined,
		},
	} as const;
	const before = step(createState(), ping(records), 10).state;
	const writers = [before, ...records].map((self) => {
		// Whichever node learns of it first, not only the one that usually writes.
		const name = 'name' in self ? self.name : before.self.name;
		const state = {...before, self: {...before.self, name}};
		const restored = step(state, {kind: 'store-restored'}, 20);
		assert.deepEqual(
			restored.effects.map(({kind}) => kind),
			['read-seeds'],
		);
		const read = step(restored.state, missing, 30);
		assert.equal(step(read.state, missing, 40).state.seeds.mustWrite, false);
		return read.effects.some(({kind}) => kind === 'write-seeds');
	});
	assert.deepEqual(writers, [true, true, true, true]);
});

/** What a node reads from the store when its own data centre's object is good. */
const goodSeeds = {
	kind: 'read',
	addresses: ['10.0.0.1:8081'],
	localAddresses: ['10.0.0.1:8081'],
	memberCount: 1,
	writtenMs: wallMs,
	version: 3,
	revision: 9,
} as const;

function hasEffect({effects}: MembersStep, kind: string): boolean {
	return effects.some((effect) => effect.kind === kind);
}

// Regression: an object that another writer had replaced counted as recent and was not written again.
test('a damaged object is written again at once, an object of another node later', () => {
	const damaged = {...goodSeeds, localAddresses: [], isDamaged: true};
	const first = step(createState(), {kind: 'seeds', outcome: damaged}, 10);
	assert.ok(hasEffect(first, 'write-seeds'));
	const odd = {...goodSeeds, isDamaged: true, version: 0};
	const second = step(createState(), {kind: 'seeds', outcome: odd}, 10);
	assert.ok(hasEffect(second, 'write-seeds'));
	const others = {...goodSeeds, localAddresses: ['10.0.0.7:8081']};
	const created = createState();
	const third = step(
		{...created, seeds: {...created.seeds, nextReadAt: 40_000}},
		{kind: 'seeds', outcome: others},
		10,
	);
	assert.ok(!hasEffect(third, 'write-seeds'));
	assert.equal(third.state.seeds.nextReadAt, 10_000);
	const fourth = step(third.state, {kind: 'seeds', outcome: others}, 10_001);
	assert.ok(hasEffect(fourth, 'write-seeds'));
});

test('an object that no write mends is written less and less often', () => {
	const outcome = {...goodSeeds, localAddresses: [], isDamaged: true};
	let state = createState();
	const writtenAt: number[] = [];
	for (let now = 0; now <= 120_000; now += 500) {
		const read = step(state, {kind: 'seeds', outcome}, now);
		state = read.state;
		if (hasEffect(read, 'write-seeds')) {
			writtenAt.push(now);
		}
	}

	assert.deepEqual(
		writtenAt,
		[0, 1000, 3000, 7000, 15_000, 31_000, 61_000, 91_000],
	);
	const good = step(state, {kind: 'seeds', outcome: goodSeeds}, 120_500);
	const again = step(good.state, {kind: 'seeds', outcome}, 120_600);
	assert.ok(hasEffect(again, 'write-seeds'));
});

// Regression: a member that was alone in a replaced object was not found for ten seconds or more.
test('an unknown address that is read during a sync is looked at again after it', () => {
	const known = step(createState(), ping([record]), 5);
	const outcome = {...goodSeeds, addresses: ['10.0.0.1:8081', '10.0.0.7:8081']};
	const first = step(known.state, {kind: 'seeds', outcome}, 10);
	assert.ok(first.state.sync);
	const seeds = {...first.state.seeds, nextReadAt: 40_000};
	const second = step(
		{...first.state, seeds},
		{
			kind: 'seeds',
			outcome: {...outcome, addresses: ['10.0.0.1:8081', '10.0.0.8:8081']},
		},
		20,
	);
	assert.ok(second.state.seeds.nextReadAt <= 1020);
});

test('the first bridge watches the objects, and reads them with the next period after a change', () => {
	const read = step(createState(), {kind: 'seeds', outcome: goodSeeds}, 10);
	const watching = step(read.state, {kind: 'tick'}, 1000);
	assert.deepEqual(
		watching.effects.filter(({kind}) => kind === 'watch-seeds'),
		[{kind: 'watch-seeds', revision: 9, waitMs: 25_000}],
	);
	assert.ok(
		!hasEffect(step(watching.state, {kind: 'tick'}, 2000), 'watch-seeds'),
	);

	const changed = step(
		{...watching.state, seeds: {...watching.state.seeds, nextReadAt: 50_000}},
		{kind: 'seeds-watched', outcome: {kind: 'changed'}},
		2100,
	);
	assert.deepEqual(changed.effects, []);
	assert.ok(hasEffect(step(changed.state, {kind: 'tick'}, 3000), 'read-seeds'));

	const unchanged = step(
		watching.state,
		{kind: 'seeds-watched', outcome: {kind: 'unchanged', revision: 12}},
		2100,
	);
	const next = step(unchanged.state, {kind: 'tick'}, 3000);
	assert.ok(
		next.effects.some(
			(effect) => effect.kind === 'watch-seeds' && effect.revision === 12,
		),
	);

	const failed = step(
		watching.state,
		{kind: 'seeds-watched', outcome: {kind: 'failed'}},
		2100,
	);
	assert.ok(
		!hasEffect(step(failed.state, {kind: 'tick'}, 3000), 'watch-seeds'),
	);
});

// Regression: each address that led nowhere cost a node that joined up to two seconds.
test('an object whose addresses lead nowhere costs every second try at most, without a wait', () => {
	const own = Array.from({length: 24}, (_, index) => `10.0.1.${index}:8081`);
	const others = ['10.0.2.1:8081', '10.0.2.2:8081'];
	for (const [localAddresses, sound] of [
		[own, others],
		[others, others],
	] as const) {
		const joining = {...createState(), role: 'joining'} as const;
		const addresses = [...own, ...others];
		const outcome = {...goodSeeds, addresses, localAddresses};
		let next = step(joining, {kind: 'seeds', outcome}, 10);
		const tried: string[] = [];
		for (;;) {
			const send = next.effects.find(({kind}) => kind === 'send');
			assert.ok(send?.kind === 'send', `no address after ${tried.join(', ')}`);
			tried.push(send.address);
			if (sound.includes(send.address)) {
				break;
			}

			const {address, request} = send;
			next = step(next.state, {kind: 'failure', address, request}, 10);
		}

		assert.ok(tried.length <= 2, tried.join(', '));
	}
});

test('a node whose seeds have all failed waits before it tries them again', () => {
	const addresses = ['10.0.1.1:8081', '10.0.1.2:8081', '10.0.1.3:8081'];
	const joining = {...createState(), role: 'joining'} as const;
	const outcome = {...goodSeeds, addresses, localAddresses: addresses};
	let next = step(joining, {kind: 'seeds', outcome}, 10);
	const tried: string[] = [];
	for (;;) {
		const send = next.effects.find(({kind}) => kind === 'send');
		if (send?.kind !== 'send') {
			break;
		}

		const {address, request} = send;
		tried.push(address);
		next = step(next.state, {kind: 'failure', address, request}, 10);
	}

	assert.deepEqual(tried.toSorted(), addresses);
	assert.ok(next.state.seeds.nextJoinAt > 1000);
});

test('requests for indirect probes of a silent member do not pile up', () => {
	const createRelay = (address: string) => ({
		kind: 'request' as const,
		request: {
			kind: 'relay' as const,
			from: {...ping([]).request.from, address},
			name: 'silent',
			address: '10.0.0.9:8081',
		},
	});
	let state = createState();
	for (let count = 0; count < 1000; count++) {
		const sender = `10.0.${count % 20}.3:8081`;
		state = step(state, createRelay(sender), count).state;
	}

	const asked = state.relayedProbes.get('silent') ?? [];
	assert.ok(asked.length <= 20, `${asked.length} addresses`);
	assert.equal(new Set(asked).size, asked.length);
	assert.ok(asked.includes('10.0.19.3:8081'));
});

test('a member whose address answers under another name is dead, and the one that answers is not', () => {
	const successor = {...record, name: 'abdali-7', incarnation: wallMs + 5000};
	const {request} = ping([record, successor]);
	const known = step(createState(), {kind: 'request', request}, 0).state;
	const answered = step(
		known,
		{
			kind: 'answer',
			address: record.address,
			request: {...request, records: []},
			answer: {
				kind: 'ack',
				from: {...request.from, name: successor.name},
				records: [],
				needsRecord: false,
			},
		},
		10,
	);
	const states = listMembers(answered.state.table).map(
		({name, state}) => `${name} ${state}`,
	);
	assert.deepEqual(states.toSorted(), ['abdali-2 dead', 'abdali-7 alive']);
});
