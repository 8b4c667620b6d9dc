import type {OutcomeKind, OutcomeReason} from '../protocol/request.js';
import {isCapacityRefusal} from './is-capacity-refusal.js';
import {isMisrouted} from './is-misrouted.js';

/** What the decision to retry depends on. */
export type RetryInput = {
	/** Outcome of the last attempt. */
	readonly outcome: Exclude<OutcomeKind, 'answered'>;
	readonly reason: OutcomeReason;
	/** Whether the request may run more than once. */
	readonly repeatable: boolean;
	/** Attempts made so far. */
	readonly attempts: number;
	readonly maxAttempts: number;
	/** Time left until the deadline, ms. */
	readonly remainingMs: number;
	/** Tokens left in the retry budget of team and service. */
	readonly budget: number;
	/** Whether a node nearer to the client already retries this call. */
	readonly isNested: boolean;
	/** Whether another host is not known to be full; not known when absent. */
	readonly hasAvailableHost?: boolean;
};

/** Whether another attempt is made, and whether it draws on the budget. */
export type RetryDecision = 'stop' | 'retry' | 'reroute';

/**
 * Decides whether an attempt that was not answered is followed by another.
 *
 * Only what has not run, or may run again, is tried again. Of nested calls only
 * the node nearest to the client retries; a misrouted attempt goes to another
 * host at any depth and without drawing on the budget, and so does one that a
 * full host has refused while another may have room: it reached no upstream.
 *
 * @param input - see `RetryInput`
 * @returns `stop`; `retry`, which costs a token; or `reroute`, which does not
 * @example
 * decideRetry({outcome: 'unknown', repeatable: false, ...rest}); // 'stop'
 */
export function decideRetry(input: RetryInput): RetryDecision {
	const {outcome, reason, repeatable, isNested, budget} = input;
	const mayRun = repeatable || outcome === 'not-run';
	const hasAttemptsLeft =
		input.attempts < input.maxAttempts && input.remainingMs > 0;
	if (!mayRun || !hasAttemptsLeft) {
		return 'stop';
	}

	const isFull = isCapacityRefusal(reason) && input.hasAvailableHost === true;
	if (outcome === 'not-run' && (isMisrouted(reason) || isFull)) {
		return 'reroute';
	}

	return !isNested && budget >= 1 ? 'retry' : 'stop';
}
