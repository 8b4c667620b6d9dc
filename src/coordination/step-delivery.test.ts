import assert from 'node:assert/strict';
import test from 'node:test';
import type {Configuration, LogEntry} from '../protocol/configuration.js';
import {manifestSchema} from '../protocol/manifest.js';
import type {Member} from '../protocol/member.js';
import {applyEntry} from '../state/apply-entry.js';
import {createConfiguration} from '../state/create-configuration.js';
import {createDeliveryState} from './create-delivery-state.js';
import {decideCommit} from './decide-commit.js';
import type {
	DeliveryEffect,
	DeliveryMessage,
	DeliveryState,
} from './delivery-state.js';
import {stepDelivery} from './step-delivery.js';

const names = ['a', 'b', 'c', 'd', 'e'];
const members = names.map((name): Member => ({
	name,
	dataCentre: 'abdali',
	address: `${name}:1`,
	incarnation: 0,
	sequence: 0,
	state: 'alive',
	upstreams: [],
}));

function createHistory(length: number): {
	readonly entries: readonly LogEntry[];
	readonly configurations: readonly Configuration[];
} {
	const configurations = [createConfiguration()];
	const entries: LogEntry[] = [];
	for (let replaces = 0; replaces < length; replaces++) {
		const manifest = manifestSchema.parse({
			team: 'kitchens',
			replaces,
			services: {pantry: {slots: replaces + 1}},
			policies: {lookup: {}},
			routes: [
				{
					name: 'stock',
					path: '/kitchens/stock',
					service: 'pantry',
					policy: 'lookup',
				},
			],
		});
		const submission = {submissionId: `s-${replaces}`, manifest};
		const before = configurations.at(-1)!;
		const entry = decideCommit(before, [submission], 0).entry!;
		entries.push(entry);
		configurations.push(applyEntry(before, entry)._unsafeUnwrap());
	}

	return {entries, configurations};
}

const {entries, configurations} = createHistory(4);
const fields = {name: 'b', version: 4, safeVersion: 4, holders: ['c', 'd']};

type Run = {
	readonly state: DeliveryState;
	readonly effects: readonly DeliveryEffect[];
};

function tell(run: Run, message: DeliveryMessage, now: number): Run {
	const step = stepDelivery(run.state, message, {now, random: () => 0});
	return {state: step.state, effects: [...run.effects, ...step.effects]};
}

/** A child that has version 1 and waits for its parent's next answer. */
function createChild(): Run {
	let run: Run = {state: createDeliveryState('e', 'abdali'), effects: []};
	for (const name of names) {
		const state = createDeliveryState(name, 'abdali');
		run = tell({state, effects: []}, {kind: 'view', members}, 0);
		if (run.state.position?.kind === 'child') {
			break;
		}
	}

	return answerPull(run, {
		...fields,
		kind: 'entries',
		version: 1,
		safeVersion: 1,
		entries: entries.slice(0, 1),
	});
}

function answerPull(run: Run, value: unknown, now = 10): Run {
	const pull = [...run.state.calls].find(
		([, {purpose}]) => purpose.kind === 'pull',
	);
	return tell(
		run,
		{
			kind: 'poll-answer',
			callId: pull![0],
			outcome: {kind: 'answered', value},
		},
		now,
	);
}

function findLastPoll(run: Run): Extract<DeliveryEffect, {kind: 'poll'}> {
	const poll = run.effects.findLast(
		(effect) => effect.kind === 'poll' && effect.poll.waitMs > 0,
	);
	assert.ok(poll?.kind === 'poll');
	return poll;
}

const second = entries[1]!;
const third = entries[2]!;
const badAnswers: ReadonlyArray<
	readonly [string, Readonly<Record<string, unknown>>]
> = [
	['an entry that does not follow', {kind: 'entries', entries: [third]}],
	[
		'a wrong digest',
		{kind: 'entries', entries: [{...second, digest: third.digest}]},
	],
	['an unknown field', {kind: 'entries', entries: [{...second, priority: 1}]}],
	['a truncated message', {kind: 'entries'}],
	[
		'a huge message',
		{kind: 'entries', entries: Array.from({length: 5000}, () => second)},
	],
	[
		'a snapshot of a later version under an older digest',
		{kind: 'snapshot', configuration: {...configurations[2], version: 999}},
	],
	[
		'a snapshot with a dangling route',
		{
			kind: 'snapshot',
			configuration: {
				...configurations[2],
				teams: {
					kitchens: {...configurations[2]?.teams.kitchens, services: {}},
				},
			},
		},
	],
];

for (const [what, answer] of badAnswers) {
	test(`${what} is refused, changes nothing, and is made good by a snapshot`, () => {
		const before = createChild();
		assert.equal(before.state.heldConfigurations.at(-1)?.version, 1);
		const refused = answerPull(before, {...fields, ...answer});
		assert.equal(
			refused.state.heldConfigurations.at(-1),
			before.state.heldConfigurations.at(-1),
		);
		assert.equal(refused.state.runningVersion, before.state.runningVersion);

		const polled = tell(refused, {kind: 'tick'}, 6000);
		assert.equal(findLastPoll(polled).poll.wantSnapshot, true);
		const configuration = configurations[4];
		const value = {...fields, kind: 'snapshot', configuration};
		const mended = answerPull(polled, value, 6010);
		assert.equal(mended.state.heldConfigurations.at(-1)?.version, 4);
		assert.equal(mended.state.refusal, undefined);
		assert.equal(mended.state.runningVersion, 4);
	});
}

test('a refused entry is logged and reported upward with its reason', () => {
	const wrong = {...second, digest: third.digest};
	const run = answerPull(createChild(), {
		...fields,
		kind: 'entries',
		entries: [wrong],
	});
	const log = run.effects.find(({kind}) => kind === 'log');
	assert.ok(log?.kind === 'log' && log.message === 'version refused');
	const polled = tell(run, {kind: 'tick'}, 6000);
	const [refusal] = findLastPoll(polled).poll.progress!.refusals;
	assert.equal(refusal?.version, 2);
	assert.equal(refusal?.problem.code, 'digest');
});

test('a child whose parent is silent asks another on a new connection', () => {
	let run = createChild();
	const first = findLastPoll(run);
	for (let now = 100; now <= 8000; now += 200) {
		run = tell(run, {kind: 'tick'}, now);
	}

	const later = findLastPoll(run);
	assert.equal(first.needsNewConnection, false);
	assert.equal(later.needsNewConnection, true);
});
