import {maxReadBackAttempts} from '../../../protocol/constants.js';
import type {
	PlatformOutcome,
	WriteCondition,
} from '../../../protocol/platform.js';
import {applyEntry} from '../../../state/apply-entry.js';
import {snapshotHeadKey} from '../../../state/format-snapshot-key.js';
import type {
	CommitContext,
	CommitEffect,
	CommitPhase,
	CommitState,
	CommitStep,
} from '../../commit-state.js';
import {decideCommit, type CommitDecision} from '../../decide-commit.js';
import {classifySlot} from './classify-slot.js';
import {
	answerGroup,
	callPlatform,
	finishGroup,
	prependEffects,
	pauseBefore,
	readBack,
	readNextSlot,
} from './continue-commit.js';
import {readSnapshotVersion} from './read-snapshot-version.js';
import {answerRepeatedRefusals, recordRefusals} from './refusals.js';

function writeEntry(
	state: CommitState,
	condition: WriteCondition,
	context: CommitContext,
): CommitStep {
	const {remaining, effects} = answerRepeatedRefusals(state);
	const group = {...state, group: remaining};
	const decision = decideCommit(state.base, remaining, context.now);
	const {entry} = decision;
	if (!entry) {
		return prependEffects(effects, replyDecision(group, decision, [], context));
	}

	return prependEffects(
		effects,
		callPlatform(
			group,
			{kind: 'writing', decision},
			{
				kind: 'write',
				key: readNextSlot(group, context.ringSize).key,
				value: entry,
				condition,
			},
		),
	);
}

function replyDecision(
	state: CommitState,
	decision: CommitDecision,
	effects: readonly CommitEffect[],
	context: CommitContext,
): CommitStep {
	const replies = state.group.map(({replyId}, index) => ({
		kind: 'reply' as const,
		replyId,
		outcome: decision.outcomes[index]!,
	}));
	const next = {...state, refusals: recordRefusals(state, decision.outcomes)};
	return prependEffects(
		[...effects, ...replies],
		finishGroup(next, context.ringSize),
	);
}

function acceptEntry(
	state: CommitState,
	decision: CommitDecision,
	context: CommitContext,
): CommitStep {
	const entry = decision.entry!;
	const base = applyEntry(state.base, entry)._unsafeUnwrap();
	const effects: CommitEffect[] = [{kind: 'entries', entries: [entry]}];
	if (base.version - state.snapshotVersion >= context.snapshotInterval) {
		effects.push({kind: 'store-snapshot', configuration: base});
	}

	return replyDecision({...state, base}, decision, effects, context);
}

function handleHead(
	state: CommitState,
	condition: WriteCondition,
	context: CommitContext,
): CommitStep {
	const overwritten = state.base.version + 1 - context.ringSize;
	if (state.snapshotVersion >= overwritten) {
		return writeEntry(state, condition, context);
	}

	return callPlatform(
		state,
		{kind: 'checking-snapshot', condition},
		{kind: 'read', key: snapshotHeadKey},
	);
}

function handleRead(
	state: CommitState,
	outcome: PlatformOutcome,
	context: CommitContext,
): CommitStep {
	const slot = classifySlot(state.base.version + 1, outcome, context.ringSize);
	switch (slot.kind) {
		case 'head': {
			return handleHead(state, slot.condition, context);
		}

		case 'entry': {
			const base = applyEntry(state.base, slot.entry);
			if (base.isErr()) {
				return answerGroup(state, context.ringSize);
			}

			const next = {...state, base: base.value, isUncertain: false};
			return prependEffects(
				[{kind: 'entries', entries: [slot.entry]}],
				readNextSlot(next, context.ringSize).step,
			);
		}

		case 'overwritten':
		case 'unreadable':
		case 'unavailable': {
			return answerGroup(state, context.ringSize);
		}
	}
}

function handleSnapshotHead(
	state: CommitState,
	condition: WriteCondition,
	outcome: PlatformOutcome,
	context: CommitContext,
): CommitStep {
	const found = readSnapshotVersion(outcome);
	if (found === undefined) {
		return answerGroup(state, context.ringSize);
	}

	const snapshotVersion = Math.max(state.snapshotVersion, found);
	const next = {...state, snapshotVersion};
	if (snapshotVersion >= state.base.version + 1 - context.ringSize) {
		return writeEntry(next, condition, context);
	}

	return prependEffects(
		[{kind: 'store-snapshot', configuration: state.base}],
		pauseBefore(next, {kind: 'reading'}, context),
	);
}

function handleWritten(
	state: CommitState,
	decision: CommitDecision,
	outcome: PlatformOutcome,
	context: CommitContext,
): CommitStep {
	switch (outcome.kind) {
		case 'written': {
			return acceptEntry(state, decision, context);
		}

		case 'conflict': {
			return pauseBefore(state, {kind: 'reading'}, context);
		}

		case 'unavailable': {
			return answerGroup(state, context.ringSize);
		}

		case 'unknown':
		case 'absent':
		case 'found':
		case 'items':
		case 'compacted': {
			return readBack(
				{...state, isUncertain: true},
				decision,
				1,
				context.ringSize,
			);
		}
	}
}

function handleReadBack(
	state: CommitState,
	phase: Extract<CommitPhase, {kind: 'reading-back'}>,
	outcome: PlatformOutcome,
	context: CommitContext,
): CommitStep {
	const {decision, tries} = phase;
	const slot = classifySlot(state.base.version + 1, outcome, context.ringSize);
	switch (slot.kind) {
		case 'entry': {
			return slot.entry.digest === decision.entry?.digest
				? acceptEntry(state, decision, context)
				: readNextSlot({...state, isUncertain: false}, context.ringSize).step;
		}

		case 'head': {
			return pauseBefore(state, {kind: 'reading'}, context);
		}

		case 'unavailable': {
			return tries < maxReadBackAttempts
				? pauseBefore(state, {...phase, tries: tries + 1}, context)
				: answerGroup(state, context.ringSize);
		}

		case 'overwritten':
		case 'unreadable': {
			return answerGroup(state, context.ringSize);
		}
	}
}

/**
 * Handles the outcome of the platform call that the commit state machine waits for.
 *
 * @param state - the state before
 * @param outcome - outcome of the newest call
 * @param context - time, random source and sizes
 * @returns the state after and the effects to carry out
 */
export function handleCommitAnswer(
	state: CommitState,
	outcome: PlatformOutcome,
	context: CommitContext,
): CommitStep {
	const {phase} = state;
	switch (phase.kind) {
		case 'reading': {
			return handleRead(state, outcome, context);
		}

		case 'checking-snapshot': {
			return handleSnapshotHead(state, phase.condition, outcome, context);
		}

		case 'writing': {
			return handleWritten(state, phase.decision, outcome, context);
		}

		case 'reading-back': {
			return handleReadBack(state, phase, outcome, context);
		}

		case 'idle':
		case 'pausing': {
			return {state, effects: []};
		}
	}
}
