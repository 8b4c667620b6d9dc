import {
	logRingSize,
	maxPendingSubmissionsPerTeam,
	snapshotIntervalEntries,
} from '../protocol/constants.js';
import {
	readBack,
	readNextSlot,
	startGroup,
} from './_lib/commit/continue-commit.js';
import {handleCommitAnswer} from './_lib/commit/handle-commit-answer.js';
import type {
	CommitContext,
	CommitMessage,
	CommitOptions,
	CommitState,
	CommitStep,
	PendingSubmission,
} from './commit-state.js';

function addSubmission(
	state: CommitState,
	pending: PendingSubmission,
	context: CommitContext,
): CommitStep {
	const waitingOfTeam = state.waiting.filter(
		({manifest}) => manifest.team === pending.manifest.team,
	);
	if (waitingOfTeam.length >= maxPendingSubmissionsPerTeam) {
		const outcome = {
			kind: 'unavailable',
			submissionId: pending.submissionId,
		} as const;
		return {
			state,
			effects: [{kind: 'reply', replyId: pending.replyId, outcome}],
		};
	}

	const next = {...state, waiting: [...state.waiting, pending]};
	return state.phase.kind === 'idle'
		? startGroup(next, context.ringSize)
		: {state: next, effects: []};
}

function resume(state: CommitState, context: CommitContext): CommitStep {
	if (state.phase.kind !== 'pausing') {
		return {state, effects: []};
	}

	const {before} = state.phase;
	return before.kind === 'reading'
		? readNextSlot(state, context.ringSize).step
		: readBack(state, before.decision, before.tries, context.ringSize);
}

function updateBase(
	state: CommitState,
	base: CommitState['base'],
): CommitState {
	const canUpdate = state.phase.kind === 'idle' && state.group.length === 0;
	return canUpdate && base.version > state.base.version
		? {...state, base}
		: state;
}

/**
 * Advances the commit state machine by one message.
 *
 * A group of submissions is accepted by one conditional write of the next log
 * slot, at the object version that was read. The write of an older process that
 * resumes after a pause fails that condition. If the answer to a write is lost,
 * the slot is read back; `unknown` is answered only while the write may still
 * take effect.
 *
 * @param state - the state before; not modified
 * @param message - the message to handle
 * @param options - see `CommitOptions`
 * @returns the state after and the effects to carry out
 * @example
 * stepCommit(createCommitState(base), {kind: 'submit', pending}, {now, random});
 */
export function stepCommit(
	state: CommitState,
	message: CommitMessage,
	options: CommitOptions,
): CommitStep {
	const context = {
		ringSize: logRingSize,
		snapshotInterval: snapshotIntervalEntries,
		...options,
	};
	switch (message.kind) {
		case 'submit': {
			return addSubmission(state, message.pending, context);
		}

		case 'configuration': {
			return {state: updateBase(state, message.configuration), effects: []};
		}

		case 'snapshot-stored': {
			const snapshotVersion = Math.max(state.snapshotVersion, message.version);
			return {state: {...state, snapshotVersion}, effects: []};
		}

		case 'answer': {
			return message.callId === state.callId
				? handleCommitAnswer(state, message.outcome, context)
				: {state, effects: []};
		}

		case 'timer': {
			return message.callId === state.callId
				? resume(state, context)
				: {state, effects: []};
		}
	}
}
