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
	readonly replies: Array<{ticket: number; outcome: SubmissionOutcome}>;
	readonly calls: Array<{callId: number; call: PlatformCall}>;
	tell(message: CommitMessage): void;
	submit(ticket: number, team: string, replaces: number, id?: string): void;
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
				tell({kind: 'timer', callId: effect.callId});
				break;
			}

			case 'entries':
			case 'store-snapshot': {
				break;
			}
		}
	}

	function tell(message: CommitMessage): void {
		const step = stepCommit(state, message, {now: 0, random: () => 0});
		state = step.state;
		for (const effect of step.effects) {
			runEffect(effect);
		}
	}

	return {
		replies,
		calls,
		tell,
		submit(replyId, team, replaces, id = `s-${replyId}`) {
			const manifest = manifestSchema.parse({team, replaces});
			tell({kind: 'submit', pending: {replyId, submissionId: id, manifest}});
		},
		answer(outcome) {
			tell({kind: 'answer', callId: calls.at(-1)!.callId, outcome});
		},
		readState: () => state,
	};
}

const written: PlatformOutcome = {kind: 'written', version: 1};

test('two committers race: one wins, the other is told the revision', () => {
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

test('the next version is written under the condition that was read', () => {
	const committer = createCommitter();
	committer.submit(1, 'kitchens', 0);
	committer.answer({kind: 'absent'});
	const {call} = committer.calls.at(-1)!;
	assert.ok(call.kind === 'write');
	assert.deepEqual(call.condition, {kind: 'absent'});
});

for (const [what, outcomes, expected] of [
	['is found again', ['own'], 'accepted'],
	['cannot be read back', Array.from({length: 20}, () => 'down'), 'unknown'],
	[
		'has not landed and then the platform is down',
		['absent', 'down'],
		'unknown',
	],
] as const) {
	test(`a lost answer that ${what} is ${expected}`, () => {
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

test('a group is bounded and takes one submission of each team in turn', () => {
	const committer = createCommitter();
	committer.submit(0, 'first', 0);
	for (let ticket = 1; ticket <= 40; ticket++) {
		committer.submit(ticket, 'kitchens', ticket - 1);
	}

	committer.submit(41, 'brigades', 0);
	committer.answer({kind: 'absent'});
	committer.answer(written);
	const {group} = committer.readState();
	assert.equal(group.length, maxCommitsPerEntry);
	assert.ok(group.some(({manifest}) => manifest.team === 'brigades'));
});

test('repeats get the first answer, and the quota refuses the rest', () => {
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
		committer.replies.find(({ticket}) => ticket === 5)?.outcome,
	);
	committer.submit(101, 'brigades', 7, 'wrong');
	committer.answer({kind: 'absent'});
	const first = committer.replies.at(-1)!.outcome;
	committer.submit(102, 'brigades', 0, 'wrong');
	committer.answer({kind: 'absent'});
	assert.equal(committer.replies.at(-1)!.outcome, first);
});
