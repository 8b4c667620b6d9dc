import assert from 'node:assert/strict';
import test from 'node:test';
import {createSampleMember} from '../../../harness/create-sample-member.js';
import type {AnswerProof} from '../../protocol/routing-document.js';
import {createDocumentState} from '../create-document-state.js';
import type {
	DocumentEffect,
	DocumentMessage,
	StoredDocumentOutcome,
} from '../document-state.js';
import {stepDocument} from '../step-document.js';
import {computeProofAge} from './compute-proof-age.js';

const document = {version: 3, routes: [], services: {}};
const read = {kind: 'read', document, revision: 9, era: 1} as const;
const unchanged = {...read, document: undefined};

/** Creates a node whose calls the test answers; it keeps the effects of the last step and all log lines. */
function createMachine(revocation?: {maxDelayMs: number}) {
	let state = createDocumentState('e', revocation);
	let effects: readonly DocumentEffect[] = [];
	const logs: string[] = [];
	function send(message: DocumentMessage, now: number) {
		({state, effects} = stepDocument(state, message, now));
		for (const effect of effects) {
			if (effect.kind === 'log') {
				logs.push(effect.message);
			}
		}

		return effects;
	}

	return {
		send,
		logs,
		answerStore(outcome: StoredDocumentOutcome, now: number) {
			const callId = state.storeLoop.call!.id;
			return send({kind: 'stored', callId, outcome}, now);
		},
		answerPoll(proof: AnswerProof, now: number) {
			const callId = state.peerLoop.call!.id;
			const answer = {kind: 'unchanged', ageMs: 0, ...proof} as const;
			const outcome = {kind: 'answered', answer} as const;
			return send({kind: 'polled', callId, outcome}, now);
		},
		readState: () => state,
		readAge: (now: number) => computeProofAge(state.freshness, now),
	};
}

const revocation = {maxDelayMs: 5000};

test('a document that cannot be read proves nothing until a later one can be', () => {
	const machine = createMachine(revocation);
	machine.send({kind: 'tick'}, 0);
	machine.answerStore(read, 10);
	machine.answerStore({...unchanged, isUnreadable: true, revision: 10}, 500);
	assert.equal(machine.readAge(500), 500);
	const effects = machine.answerStore({...unchanged, revision: 10}, 2800);
	assert.equal(machine.readAge(2800), 2800);
	// A watch without a wait would be repeated at once, as it proves nothing.
	const watch = effects.find((effect) => effect.kind === 'watch');
	assert.equal(watch?.waitMs, 1000);
	machine.answerStore({kind: 'compacted'}, 2810);
	machine.answerStore(read, 2820);
	assert.equal(machine.readAge(2820), 10);
});

test('a watch from a revision of before the store was restored proves nothing', () => {
	const machine = createMachine(revocation);
	machine.send({kind: 'tick'}, 0);
	machine.answerStore(read, 10);
	machine.answerStore({...unchanged, era: 2}, 900);
	assert.equal(machine.readAge(900), 900);
	machine.answerStore({...read, era: 2}, 920);
	assert.equal(machine.readAge(920), 20);
});

/** Members of a data centre in which node `e` is not a root. */
const members = ['a', 'b', 'c', 'd', 'e'].map((name, index) =>
	createSampleMember({name, address: name, capacity: 100 - index}),
);

test('an answer without a proof changes nothing, and a proof is never younger than the poll allows', () => {
	const machine = createMachine(revocation);
	machine.send({kind: 'view', members}, 0);
	machine.answerPoll({heldMs: 5}, 10);
	assert.equal(machine.readAge(10), Number.POSITIVE_INFINITY);
	machine.send({kind: 'tick'}, 200);
	machine.answerPoll({proofAgeMs: 100, heldMs: 9000}, 250);
	assert.equal(machine.readAge(250), 100);
	machine.answerPoll({proofAgeMs: 700, heldMs: 0}, 300);
	assert.equal(machine.readAge(300), 150);
});

test('a node whose peers have no newer proof asks the store before its lease ends', () => {
	const machine = createMachine(revocation);
	machine.send({kind: 'view', members}, 0);
	machine.answerPoll({proofAgeMs: 0, heldMs: 0}, 0);
	const polled = new Set<string>();
	let calledAt = Number.POSITIVE_INFINITY;
	for (let now = 100; now < 4400; now += 100) {
		const effects = [...machine.send({kind: 'tick'}, now)];
		// Peers that are cut off answer without a wait.
		if (machine.readState().peerLoop.call) {
			effects.push(...machine.answerPoll({proofAgeMs: now}, now));
		}

		for (const effect of effects) {
			if (effect.kind === 'read') {
				calledAt = Math.min(calledAt, now);
			} else if (effect.kind === 'poll') {
				polled.add(effect.address);
			}
		}
	}

	assert.ok(calledAt < 3000, `store called at ${calledAt}`);
	assert.deepEqual([...polled].toSorted(), ['a', 'b']);
	let now = 4500;
	do {
		machine.send({kind: 'tick'}, now);
		now += 100;
	} while (!machine.readState().peerLoop.call);

	machine.answerPoll({proofAgeMs: 10, heldMs: 0}, now);
	const lines = machine.logs.filter((line) => line.startsWith('freshness'));
	assert.deepEqual(lines, [
		'freshness lease renewed',
		'freshness lease ended',
		'freshness lease renewed',
	]);
});

test('a held poll is answered with a new proof, and without settings with none', () => {
	for (const settings of [revocation, undefined]) {
		const machine = createMachine(settings);
		machine.send({kind: 'tick'}, 0);
		const started = machine.answerStore(read, 10);
		const watch = started.find((effect) => effect.kind === 'watch');
		assert.equal(watch?.waitMs, settings ? 1000 : 3000);
		const poll = {name: 'b', version: 3, waitMs: 800};
		machine.send({kind: 'poll', pollId: 1, poll}, 400);
		machine.answerStore(unchanged, 1000);
		const [early] = machine.answerStore(unchanged, 1100);
		const [late] = machine.send({kind: 'tick'}, 1200);
		const expected = settings
			? {kind: 'unchanged', ageMs: 0, proofAgeMs: 100, heldMs: 700}
			: {kind: 'unchanged', ageMs: 100};
		const answer = settings ? early : late;
		assert.deepEqual(answer?.kind === 'answer' && answer.answer, expected);
	}
});
