import {maxCommitAttempts} from '../../../protocol/constants.js';
import type {PlatformCall} from '../../../protocol/platform.js';
import {formatLogKey} from '../../../state/format-log-key.js';
import type {
	CommitEffect,
	CommitPhase,
	CommitState,
	CommitStep,
} from '../../commit-state.js';
import {computeBackoff} from '../../compute-backoff.js';
import type {CommitDecision} from '../../decide-commit.js';
import {takeCommitGroup} from '../../take-commit-group.js';

type PausePhase = Extract<CommitPhase, {kind: 'pausing'}>;

/** Returns a step with the effects put before its own. */
export function prependEffects(
	effects: readonly CommitEffect[],
	step: CommitStep,
): CommitStep {
	return {state: step.state, effects: [...effects, ...step.effects]};
}

/** Calls the platform and enters the phase that waits for the answer. */
export function callPlatform(
	state: CommitState,
	phase: CommitPhase,
	call: PlatformCall,
): CommitStep {
	const callId = state.callId + 1;
	return {
		state: {...state, phase, callId},
		effects: [{kind: 'call', callId, call}],
	};
}

/** Reads the log slot of the version after the base configuration. */
export function readNextSlot(
	state: CommitState,
	ringSize: number,
): {readonly key: string; readonly step: CommitStep} {
	const key = formatLogKey(state.base.version + 1, ringSize);
	return {
		key,
		step: callPlatform(state, {kind: 'reading'}, {kind: 'read', key}),
	};
}

/** Reads the written slot back after the answer to the write was lost. */
export function readBack(
	state: CommitState,
	decision: CommitDecision,
	tries: number,
	ringSize: number,
): CommitStep {
	const key = formatLogKey(state.base.version + 1, ringSize);
	return callPlatform(
		state,
		{kind: 'reading-back', decision, tries},
		{kind: 'read', key},
	);
}

/** Starts committing the next group of waiting submissions, if any. */
export function startGroup(state: CommitState, ringSize: number): CommitStep {
	if (state.waiting.length === 0) {
		return {state: {...state, phase: {kind: 'idle'}}, effects: []};
	}

	const {group, rest} = takeCommitGroup(state.waiting);
	return readNextSlot({...state, group, waiting: rest}, ringSize).step;
}

/** Ends a group whose submissions were answered and starts the next one. */
export function finishGroup(state: CommitState, ringSize: number): CommitStep {
	return startGroup(
		{...state, group: [], tries: 0, isUncertain: false},
		ringSize,
	);
}

/**
 * Answers a group that cannot be decided: `unknown` if a write may still take
 * effect, else `unavailable`.
 */
export function answerGroup(state: CommitState, ringSize: number): CommitStep {
	const kind = state.isUncertain ? 'unknown' : 'unavailable';
	const replies = state.group.map(({replyId, submissionId}) => ({
		kind: 'reply' as const,
		replyId,
		outcome: {kind, submissionId} as const,
	}));
	return prependEffects(replies, finishGroup(state, ringSize));
}

/**
 * Waits with full jitter before the next try, or answers the group after
 * `maxCommitAttempts`.
 */
export function pauseBefore(
	state: CommitState,
	before: PausePhase['before'],
	context: {readonly random: () => number; readonly ringSize: number},
): CommitStep {
	const tries = state.tries + 1;
	if (tries > maxCommitAttempts) {
		return answerGroup(state, context.ringSize);
	}

	const callId = state.callId + 1;
	const delayMs = computeBackoff(tries, context.random());
	return {
		state: {...state, tries, callId, phase: {kind: 'pausing', before}},
		effects: [{kind: 'wait', callId, delayMs}],
	};
}
