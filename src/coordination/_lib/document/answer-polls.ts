import {documentStaleMs} from '../../../protocol/constants.js';
import type {
	DocumentAnswer,
	DocumentChanges,
	RoutingDocument,
} from '../../../protocol/routing-document.js';
import {computeDocumentChanges} from '../../../state/compute-document-changes.js';
import type {
	DocumentEffect,
	DocumentState,
	DocumentStep,
} from '../../document-state.js';
import {createStepWithoutEffects} from './create-step-without-effects.js';

/** Computes changes from one version once for all who ask for them. */
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
	},
): DocumentAnswer {
	const {ageMs, changes} = context;
	if (!document || document.version <= known) {
		return {kind: 'unchanged', ageMs};
	}

	return changes
		? {kind: 'changes', ageMs, changes}
		: {kind: 'whole', ageMs, document};
}

/** Answers the polls that have waited long enough or get a newer document. */
export function answerPolls(state: DocumentState, now: number): DocumentStep {
	const {document} = state;
	const version = document?.version ?? -1;
	const isDue = (poll: DocumentState['polls'][number]): boolean =>
		poll.version < version || poll.endsAt <= now;
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
		effects: due.map(({pollId, version: known}): DocumentEffect => ({
			kind: 'answer',
			pollId,
			answer: createAnswer(document, known, {
				ageMs,
				changes: changes.get(known),
			}),
		})),
	};
}
