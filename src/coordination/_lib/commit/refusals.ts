import type {SubmissionOutcome} from '../../../protocol/configuration.js';
import {maxRememberedRefusals} from '../../../protocol/constants.js';
import type {
	CommitEffect,
	CommitState,
	PendingSubmission,
} from '../../commit-state.js';

function formatRefusalKey({manifest, submissionId}: PendingSubmission): string {
	return `${manifest.team}\n${submissionId}`;
}

function isAccepted(state: CommitState, ticket: PendingSubmission): boolean {
	const records = state.base.teams[ticket.manifest.team]?.submissions ?? [];
	return records.some(({id}) => id === ticket.submissionId);
}

/**
 * Answers the submissions of a group that this node has refused before.
 *
 * @param state - the commit machine's state
 * @returns the submissions that are left, and the replies to the others
 */
export function answerRepeatedRefusals(state: CommitState): {
	readonly remaining: readonly PendingSubmission[];
	readonly effects: readonly CommitEffect[];
} {
	const remaining: PendingSubmission[] = [];
	const effects: CommitEffect[] = [];
	for (const ticket of state.group) {
		const outcome = state.refusals.get(formatRefusalKey(ticket));
		if (outcome && !isAccepted(state, ticket)) {
			effects.push({kind: 'reply', replyId: ticket.replyId, outcome});
		} else {
			remaining.push(ticket);
		}
	}

	return {remaining, effects};
}

/**
 * Remembers the refusals of a group, up to a bound; the oldest go first.
 *
 * A refusal for quota is not remembered, since it ends with the minute.
 *
 * @param state - the commit machine's state
 * @param outcomes - outcomes in the order of the group
 * @returns refusals by team and submission identifier
 */
export function recordRefusals(
	state: CommitState,
	outcomes: readonly SubmissionOutcome[],
): ReadonlyMap<string, SubmissionOutcome> {
	const refusals = new Map(state.refusals);
	for (const [index, outcome] of outcomes.entries()) {
		const ticket = state.group[index];
		if (
			ticket &&
			outcome.kind === 'refused' &&
			outcome.problems.every(({code}) => code !== 'quota')
		) {
			refusals.set(formatRefusalKey(ticket), outcome);
		}
	}

	return new Map([...refusals].slice(-maxRememberedRefusals));
}
