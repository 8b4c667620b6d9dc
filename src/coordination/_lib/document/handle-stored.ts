import {
	documentBacklogThresholdMs,
	documentTransferMs,
} from '../../../protocol/constants.js';
import type {
	DocumentState,
	DocumentStep,
	StoredDocumentOutcome,
} from '../../document-state.js';
import {acceptDocument} from './accept-document.js';
import {endCall} from './end-call.js';
import {createStepWithoutEffects} from './create-step-without-effects.js';

/**
 * Detects by its era or a lower revision that the store has come back from a
 * copy. A call that began with a revision from before may have missed changes,
 * so that the document has to be read.
 */
function applyEra(
	before: DocumentState,
	step: DocumentStep,
	{
		era,
		revision: current,
	}: {readonly era?: number | undefined; readonly revision: number | undefined},
): DocumentStep {
	const isLower =
		current !== undefined &&
		before.revision !== undefined &&
		current < before.revision;
	if (era === before.era && !isLower) {
		return step;
	}

	const isFirst = before.era === undefined && before.revision === undefined;
	const revision =
		before.revision === undefined ? step.state.revision : undefined;
	return {
		state: {...step.state, era, revision},
		effects: isFirst
			? step.effects
			: [
					...step.effects,
					{kind: 'store-restored'},
					{
						kind: 'log',
						level: 'warn',
						message: 'store came back from a copy',
						fields: {era, eraBefore: before.era},
					},
				],
	};
}

/** Handles the outcome of a call to the store. */
export function handleStored(
	state: DocumentState,
	outcome: StoredDocumentOutcome,
	now: number,
): DocumentStep {
	switch (outcome.kind) {
		case 'read': {
			const {document, revision, transferMs = 0, arrivedAt = now} = outcome;
			const step = acceptDocument(state, document, 'store', now);
			// The document may have changed during its transfer, or while a paused process did not read it.
			const endsAt = state.storeLoop.call?.endsAt ?? now;
			const answeredAt = Math.min(arrivedAt, endsAt) - transferMs;
			// Without a revision there is nothing to watch, and the document is read again.
			const storeLoop = endCall(state.storeLoop, revision === undefined, now);
			const hasBacklog =
				step.state.document !== state.document &&
				transferMs + now - arrivedAt > documentBacklogThresholdMs;
			const after = {
				...step.state,
				storeLoop,
				revision,
				hasBacklog,
				confirmedAt: Math.max(state.confirmedAt, answeredAt),
			};
			return applyEra(state, {...step, state: after}, outcome);
		}

		case 'revision': {
			// Without a revision the document is read, which must not repeat without delay.
			const hasFailed = outcome.revision === undefined;
			const storeLoop = endCall(state.storeLoop, hasFailed, now);
			const revision =
				state.revision === outcome.revision ? state.revision : undefined;
			const step = createStepWithoutEffects({
				...state,
				storeLoop,
				revision,
				hasBacklog: false,
			});
			return applyEra(state, step, outcome);
		}

		case 'compacted': {
			const storeLoop = endCall(state.storeLoop, false, now);
			return createStepWithoutEffects({
				...state,
				storeLoop,
				revision: undefined,
			});
		}

		case 'failed': {
			const storeLoop = endCall(state.storeLoop, true, now);
			const isFirst = state.storeLoop.failures === 0;
			const hasBacklog =
				state.hasBacklog || state.storeLoop.call?.isReceiving === true;
			// Without an era, nothing shows whether the store has come back from a copy that gives out the revision again.
			const revision = state.era === undefined ? undefined : state.revision;
			return {
				state: {...state, storeLoop, revision, hasBacklog},
				effects: isFirst
					? [
							{
								kind: 'log',
								level: 'warn',
								message: 'store does not answer',
								fields: {version: state.document?.version},
							},
						]
					: [],
			};
		}
	}
}

/** Extends the deadline of a store call whose answer has begun to arrive. */
export function extendStoreCall(
	state: DocumentState,
	callId: number,
	now: number,
): DocumentState {
	const {storeLoop} = state;
	const {call} = storeLoop;
	if (call?.id !== callId) {
		return state;
	}

	const endsAt = Math.max(call.endsAt, now + documentTransferMs);
	const extended = {...call, endsAt, isReceiving: true};
	return {...state, storeLoop: {...storeLoop, call: extended}};
}
