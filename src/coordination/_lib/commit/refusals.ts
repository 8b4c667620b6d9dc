import type {SubmissionOutcome} from '../../../protocol/configuration.js';
import {maxCachedRefusals} from '../../../protocol/constants.js';
import type {
	CommitEffect,
	CommitState,
	PendingSubmission,
} from '../../commit-state.js';

function formatRefusalKey({manifest, submissionId}: PendingSubmission): string {
	return `${manifest.team}\n${submissionId}`;
}

function isAccepted(state: CommitState, pending: PendingSubmission): boolean {
	const records = state.base.teams[pending.manifest.team]?.submissions ?? [];
	return records.some(({id}) => id === pending.submissionId);
}

/**
 * Answers the submissions of a group that this node has refused before.
 *
 * @param state - state of the commit state machine
 * @returns the submissions still to decide, and the replies to the others
 */
export function answerRepeatedRefusals(state: CommitState): {
	readonly remaining: readonly PendingSubmission[];
	readonly effects: readonly CommitEffect[];
} {
	const remaining: PendingSubmission[] = [];
	const effects: CommitEffect[] = [];
	for (const pending of state.group) {
		const outcome = state.refusals.get(formatRefusalKey(pending));
		if (outcome && !isAccepted(state, pending)) {
			effects.push({kind: 'reply', replyId: pending.replyId, outcome});
		} else {
			remaining.push(pending);
		}
	}

	return {remaining, effects};
}

/**
 * Records the refusals of a group and evicts the oldest ones above
 * `maxCachedRefusals`.
 *
 * A refusal for quota is not recorded, since it no longer holds once the minute
 * has passed.
 *
 * @param state - state of the commit state machine
 * @param outcomes - outcomes in the order of the group
 * @returns refusals by team and submission identifier
 */
export function recordRefusals(
	state: CommitState,
	outcomes: readonly SubmissionOutcome[],
): ReadonlyMap<string, SubmissionOutcome> {
	const refusals = new Map(state.refusals);
	for (const [index, outcome] of outcomes.entries()) {
		const pending = state.group[index];
		if (
			pending &&
			outcome.kind === 'refused' &&
			outcome.problems.every(({code}) => code !== 'quota')
		) {
			refusals.set(formatRefusalKey(pending), outcome);
		}
	}

	return new Map([...refusals].slice(-maxCachedRefusals));
}
