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
			const storeLoop = endCall(state.storeLoop, false, now);
			const hasBacklog =
				step.state.document !== state.document &&
				transferMs + now - arrivedAt > documentBacklogThresholdMs;
			return {
				...step,
				state: {
					...step.state,
					storeLoop,
					revision,
					hasBacklog,
					confirmedAt: now,
				},
			};
		}

		case 'revision': {
			const storeLoop = endCall(state.storeLoop, false, now);
			const revision =
				state.revision === outcome.revision ? state.revision : undefined;
			return createStepWithoutEffects({
				...state,
				storeLoop,
				revision,
				hasBacklog: false,
			});
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
			return {
				state: {...state, storeLoop, hasBacklog},
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
