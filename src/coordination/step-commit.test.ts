import assert from 'node:assert/strict';
import test from 'node:test';
import type {SubmissionOutcome} from '../protocol/configuration.js';
import {
	maxChangesPerMinutePerTeam,
	maxCommitsPerEntry,
} from '../protocol/constants.js';
import {manifestSchema} from '../protocol/manifest.js';
import type {PlatformCall, PlatformOutcome} from '../protocol/platform.js';
import {createConfiguration} from '../state/create-configuration.js';
import type {CommitEffect, CommitMessage, CommitState} from './commit-state.js';
import {createCommitState} from './create-commit-state.js';
import {stepCommit} from './step-commit.js';

type Committer = {
	readonly replies: Array<{replyId: number; outcome: SubmissionOutcome}>;
	readonly calls: Array<{callId: number; call: PlatformCall}>;
	send(message: CommitMessage): void;
	submit(replyId: number, team: string, replaces: number, id?: string): void;
	/** Answers the newest call. */
	answer(outcome: PlatformOutcome): void;
	readState(): CommitState;
};

function createCommitter(): Committer {
	let state = createCommitState(createConfiguration());
	const replies: Committer['replies'] = [];
	const calls: Committer['calls'] = [];

	function runEffect(effect: CommitEffect): void {
		switch (effect.kind) {
			case 'reply': {
				replies.push(effect);
				break;
			}

			case 'call': {
				calls.push(effect);
				break;
			}

			case 'wait': {
				send({kind: 'timer', callId: effect.callId});
				break;
			}

			case 'entries':
			case 'store-snapshot': {
				break;
			}
		}
	}

	function send(message: CommitMessage): void {
		const step = stepCommit(state, message, {now: 0, random: () => 0});
		state = step.state;
		for (const effect of step.effects) {
			runEffect(effect);
		}
	}

	return {
		replies,
		calls,
		send,
		submit(replyId, team, replaces, id = `s-${replyId}`) {
			const manifest = manifestSchema.parse({team, replaces});
			send({kind: 'submit', pending: {replyId, submissionId: id, manifest}});
		},
		answer(outcome) {
			send({kind: 'answer', callId: calls.at(-1)!.callId, outcome});
		},
		readState: () => state,
	};
}

const written: PlatformOutcome = {kind: 'written', version: 1};

test('of two concurrent commits one is accepted, the other is refused with the current revision', () => {
	const winner = createCommitter();
	const loser = createCommitter();
	for (const committer of [winner, loser]) {
		committer.submit(1, 'kitchens', 0, committer === winner ? 'a' : 'b');
		committer.answer({kind: 'absent'});
	}

	winner.answer(written);
	loser.answer({kind: 'conflict'});
	const {call} = winner.calls.at(-1)!;
	assert.ok(call.kind === 'write');
	const object = {key: call.key, version: 1, value: call.value};
	loser.answer({kind: 'found', object});
	loser.answer({kind: 'absent'});
	assert.equal(winner.replies[0]?.outcome.kind, 'accepted');
	const refused = loser.replies[0]?.outcome;
	assert.ok(refused?.kind === 'refused' && refused.currentRevision === 1);
});

test('the next version is written on the condition that its slot is unchanged since the read', () => {
	const committer = createCommitter();
	committer.submit(1, 'kitchens', 0);
	committer.answer({kind: 'absent'});
	const {call} = committer.calls.at(-1)!;
	assert.ok(call.kind === 'write');
	assert.deepEqual(call.condition, {kind: 'absent'});
});

for (const [condition, outcomes, expected] of [
	['is resolved by reading the entry back', ['own'], 'accepted'],
	['cannot be read back', Array.from({length: 20}, () => 'down'), 'unknown'],
	[
		'is followed by an empty slot and an unavailable platform',
		['absent', 'down'],
		'unknown',
	],
] as const) {
	test(`the outcome of a lost answer that ${condition} is ${expected}`, () => {
		const committer = createCommitter();
		committer.submit(1, 'kitchens', 0);
		committer.answer({kind: 'absent'});
		const {call} = committer.calls.at(-1)!;
		assert.ok(call.kind === 'write');
		const object = {key: call.key, version: 1, value: call.value};
		committer.answer({kind: 'unknown'});
		const answers: Readonly<Record<string, PlatformOutcome>> = {
			own: {kind: 'found', object},
			down: {kind: 'unavailable'},
			absent: {kind: 'absent'},
		};
		for (const outcome of outcomes) {
			if (committer.replies.length === 0) {
				committer.answer(answers[outcome]!);
			}
		}

		assert.equal(committer.replies[0]?.outcome.kind, expected);
	});
}

test('the size of a group is limited and teams are taken round-robin', () => {
	const committer = createCommitter();
	committer.submit(0, 'first', 0);
	for (let replyId = 1; replyId <= 40; replyId++) {
		committer.submit(replyId, 'kitchens', replyId - 1);
	}

	committer.submit(41, 'brigades', 0);
	committer.answer({kind: 'absent'});
	committer.answer(written);
	const {group} = committer.readState();
	assert.equal(group.length, maxCommitsPerEntry);
	assert.ok(group.some(({manifest}) => manifest.team === 'brigades'));
});

test('a repeated submission gets the first reply, and changes above the quota are refused', () => {
	const committer = createCommitter();
	for (let count = 0; count <= maxChangesPerMinutePerTeam; count++) {
		committer.submit(count, 'kitchens', count);
		committer.answer({kind: 'absent'});
		if (count < maxChangesPerMinutePerTeam) {
			committer.answer(written);
		}
	}

	const over = committer.replies.at(-1)!.outcome;
	assert.ok(over.kind === 'refused' && over.problems[0]?.code === 'quota');
	committer.submit(100, 'kitchens', 0, 's-5');
	committer.answer({kind: 'absent'});
	assert.deepEqual(
		committer.replies.at(-1)!.outcome,
		committer.replies.find(({replyId}) => replyId === 5)?.outcome,
	);
	committer.submit(101, 'brigades', 7, 'wrong');
	committer.answer({kind: 'absent'});
	const first = committer.replies.at(-1)!.outcome;
	committer.submit(102, 'brigades', 0, 'wrong');
	committer.answer({kind: 'absent'});
	assert.equal(committer.replies.at(-1)!.outcome, first);
});
