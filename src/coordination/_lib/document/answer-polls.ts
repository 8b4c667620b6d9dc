import {
	documentStaleMs,
	revocationRenewalRatio,
} from '../../../protocol/constants.js';
import type {
	AnswerProof,
	DocumentAnswer,
	DocumentChanges,
	RoutingDocument,
} from '../../../protocol/routing-document.js';
import {computeDocumentChanges} from '../../../state/compute-document-changes.js';
import type {
	DocumentEffect,
	DocumentState,
	DocumentStep,
	WaitingDocumentPoll,
} from '../../document-state.js';
import {computeProofAge} from '../../freshness/compute-proof-age.js';
import {createStepWithoutEffects} from './create-step-without-effects.js';

/** Computes the changes from each version once for all polls that need them. */
function computeChangesOnce(
	state: DocumentState,
	versions: readonly number[],
): DocumentState['changes'] {
	const {document, earlierDocuments} = state;
	const changes = new Map(state.changes);
	for (const version of versions) {
		const base = earlierDocuments.find((kept) => kept.version === version);
		if (document && base && !changes.has(version)) {
			changes.set(version, computeDocumentChanges(base, document));
		}
	}

	return changes;
}

function createAnswer(
	document: RoutingDocument | undefined,
	known: number,
	context: {
		readonly ageMs: number;
		readonly changes: DocumentChanges | undefined;
		readonly proof: AnswerProof;
	},
): DocumentAnswer {
	const {ageMs, changes, proof} = context;
	if (!document || document.version <= known) {
		return {kind: 'unchanged', ageMs, ...proof};
	}

	return changes
		? {kind: 'changes', ageMs, ...proof, changes}
		: {kind: 'whole', ageMs, ...proof, document};
}

/**
 * Creates the proof of an answer. The hold time is measured by the monotonic
 * clock, which never runs ahead of the true time, and the age by elapsed time,
 * which counts suspensions.
 */
function createProof(
	{freshness}: DocumentState,
	{arrivedAt}: WaitingDocumentPoll,
	now: number,
): AnswerProof {
	const proofAgeMs = Math.ceil(computeProofAge(freshness));
	return Number.isFinite(proofAgeMs)
		? {proofAgeMs, heldMs: Math.max(0, Math.floor(now - arrivedAt))}
		: {};
}

/**
 * Returns whether the proof is so much newer than when the poll arrived that it
 * is passed on at once. Otherwise, each level of the tree would add the wait of
 * a poll to the age of the proofs below it.
 */
function hasNewProof(
	{freshness}: DocumentState,
	{provenAt}: WaitingDocumentPoll,
): boolean {
	return (
		freshness !== undefined &&
		provenAt !== undefined &&
		freshness.provenAt - provenAt >= freshness.leaseMs * revocationRenewalRatio
	);
}

/**
 * Answers the polls whose wait has ended, or for which there is a newer document
 * or proof.
 */
export function answerPolls(state: DocumentState, now: number): DocumentStep {
	const {document} = state;
	const version = document?.version ?? -1;
	const isDue = (poll: WaitingDocumentPoll): boolean =>
		poll.version < version || poll.endsAt <= now || hasNewProof(state, poll);
	const due = state.polls.filter((poll) => isDue(poll));
	if (due.length === 0) {
		return createStepWithoutEffects(state);
	}

	const ageMs = Math.min(now - state.confirmedAt, 2 * documentStaleMs);
	const changes = computeChangesOnce(
		state,
		due.map((poll) => poll.version),
	);
	return {
		state: {
			...state,
			changes,
			polls: state.polls.filter((poll) => !isDue(poll)),
		},
		effects: due.map((poll): DocumentEffect => ({
			kind: 'answer',
			pollId: poll.pollId,
			answer: createAnswer(document, poll.version, {
				ageMs,
				changes: changes.get(poll.version),
				proof: createProof(state, poll, now),
			}),
		})),
	};
}
