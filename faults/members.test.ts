import assert from 'node:assert/strict';
import test from 'node:test';
import type {
	MembersMessage,
	MembersState,
	MembersStep,
} from '../src/coordination/members-state.js';
import {stepMembers} from '../src/coordination/step-members.js';
import type {MemberRecord, Sender} from '../src/protocol/member.js';
import {listMembers} from '../src/state/list-members.js';
import {putMembers} from '../src/state/put-members.js';
import type {MembersFault} from './_lib/members/members-faults.js';
import {
	runMembersCase,
	type MembersStepName,
} from './_lib/members/run-members-case.js';
import {formatFaultMatrix} from './format-fault-matrix.js';
import {listMembersCases} from './list-members-cases.js';
import {runFaultCases} from './run-fault-cases.js';

type Step = typeof stepMembers;

test('the invariants hold in the membership matrix', () => {
	const results = runFaultCases(
		listMembersCases({seeds: [1], coversAllSteps: false}),
	);
	const failed = results.filter(({violations}) => violations.length > 0);
	assert.equal(failed.length, 0, formatFaultMatrix(failed));
});

function dropRecords(
	message: MembersMessage,
	isKept: (record: MemberRecord) => boolean,
): MembersMessage {
	if (message.kind === 'request' && message.request.kind === 'ping') {
		const records = message.request.records.filter((record) => isKept(record));
		return {...message, request: {...message.request, records}};
	}

	if (message.kind === 'answer' && message.answer.kind === 'ack') {
		const records = message.answer.records.filter((record) => isKept(record));
		return {...message, answer: {...message.answer, records}};
	}

	if (message.kind === 'answer' && message.answer.kind === 'bucket') {
		const records = message.answer.records.filter((record) => isKept(record));
		return {...message, answer: {...message.answer, records}};
	}

	return message;
}

function dropSends(
	step: MembersStep,
	isDropped: (address: string, kind: string) => boolean,
): MembersStep {
	return {
		...step,
		effects: step.effects.filter(
			(effect) =>
				effect.kind !== 'send' ||
				!isDropped(effect.address, effect.request.kind),
		),
	};
}

const neverExpireLeases: Step = (state, message, now, random) => {
	const leases = new Map(
		[...state.leases].map(([id, lease]) => [id, {...lease, endsAt: Infinity}]),
	);
	return stepMembers({...state, leases}, message, now, random);
};

const acceptStaleAnnouncement: Step = (state, message, now, random) => {
	const leases = new Map(message.kind === 'announce' ? [] : state.leases);
	return stepMembers({...state, leases}, message, now, random);
};

const neverRefute: Step = (state, message, now, random) =>
	stepMembers(
		state,
		dropRecords(message, ({name}) => name !== state.self.name),
		now,
		random,
	);

const neverSendDigests: Step = (state, message, now, random) =>
	dropSends(
		stepMembers(state, message, now, random),
		(_, kind) => state.role === 'member' && kind === 'digests',
	);

function isDeadAt(state: MembersState, address: string): boolean {
	const known = listMembers(state.table).filter(
		(member) => member.address === address,
	);
	return known.length > 0 && known.every((member) => member.state === 'dead');
}

const neverContactDead: Step = (state, message, now, random) =>
	dropSends(
		stepMembers(state, message, now, random),
		(address) => message.kind === 'tick' && isDeadAt(state, address),
	);

/** Hides that another node uses the name of this one. */
const acceptNameConflict: Step = (state, message, now, random) => {
	const {self} = state;
	const hasSameName = ({name, address}: Sender) =>
		name === self.name && address !== self.address;
	if (message.kind === 'request' && hasSameName(message.request.from)) {
		const from = {...message.request.from, name: 'another'};
		return stepMembers(
			state,
			{...message, request: {...message.request, from}},
			now,
			random,
		);
	}

	if (message.kind === 'answer' && hasSameName(message.answer.from)) {
		const from = {...message.answer.from, name: 'another'};
		return stepMembers(
			state,
			{...message, answer: {...message.answer, from}},
			now,
			random,
		);
	}

	return stepMembers(state, message, now, random);
};

const dropTombstones: Step = (state, message, now, random) => {
	const step = stepMembers(state, message, now, random);
	const gone = [...step.state.tombstones.keys()];
	const table = putMembers(step.state.table, [], gone);
	return {...step, state: {...step.state, table}};
};

const neverProbe: Step = (state, message, now, random) =>
	stepMembers({...state, probeOrder: ['nobody']}, message, now, random);

const writeSeedsWithoutLimit: Step = (state, message, now, random) =>
	stepMembers(
		message.kind === 'seeds' ? {...state, wallOffsetMs: 1e15} : state,
		message,
		now,
		random,
	);

const naiveCases: ReadonlyArray<
	readonly [string, Step, MembersFault[], MembersStepName]
> = [
	['leases that never expire', neverExpireLeases, ['freeze'], 'steady-state'],
	[
		'stale announcements accepted',
		acceptStaleAnnouncement,
		['reordered-announcements'],
		'steady-state',
	],
	['no refutation of suspicions', neverRefute, ['freeze'], 'steady-state'],
	[
		'no comparison of digests',
		neverSendDigests,
		['data-centre-cut', 'kill'],
		'steady-state',
	],
	[
		'name conflicts accepted',
		acceptNameConflict,
		['same-name'],
		'steady-state',
	],
	['no tombstones', dropTombstones, ['kill'], 'suspicion'],
	['no probes', neverProbe, ['kill'], 'steady-state'],
	[
		'no limit on the rate of seed writes',
		writeSeedsWithoutLimit,
		['mass-kill'],
		'steady-state',
	],
];

for (const [name, step, faults, at] of naiveCases) {
	test(`the membership matrix fails with ${name} and passes without`, () => {
		const seeds = [1, 2, 3, 4, 5, 6, 7, 8];
		const broken = seeds.some(
			(seed) => runMembersCase(faults, at, seed, {step}).length > 0,
		);
		assert.ok(broken);
		assert.deepEqual(
			seeds.flatMap((seed) => runMembersCase(faults, at, seed)),
			[],
		);
	});
}

test('a split data centre merges again only if dead members are contacted', () => {
	const run = (step?: Step) =>
		runMembersCase(['split-data-centre'], 'steady-state', 1, {
			step,
			dataCentres: ['a'],
		});
	assert.notDeepEqual(run(neverContactDead), []);
	assert.deepEqual(run(), []);
});
