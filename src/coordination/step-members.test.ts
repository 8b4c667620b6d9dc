import assert from 'node:assert/strict';
import test from 'node:test';
import type {
	Announcement,
	Exchange,
	MemberRecord,
	Sender,
} from '../protocol/member.js';
import {maxIncarnationAheadMs} from '../protocol/constants.js';
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
	const self = {
		...record,
		name: 'abdali-1',
		address: '10.0.0.1:8081',
		upstreams: [],
	};
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
