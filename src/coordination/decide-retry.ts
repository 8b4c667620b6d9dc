import type {OutcomeKind, OutcomeReason} from '../protocol/request.js';
import {isCapacityRefusal} from './is-capacity-refusal.js';
import {isMisrouted} from './is-misrouted.js';

/** Input of the decision to retry. */
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
	/** Whether a node closer to the client already retries this call. */
	readonly isNested: boolean;
	/** Whether there is another host that is not known to be full; false when absent. */
	readonly hasAvailableHost?: boolean;
};

/** Whether another attempt is made, and whether it consumes a token of the budget. */
export type RetryDecision = 'stop' | 'retry' | 'reroute';

/**
 * Decides whether an unanswered attempt is followed by another one.
 *
 * A request is retried only if it has not run or may run again. For nested
 * calls, only the node closest to the client retries. A misrouted attempt is
 * rerouted to another host at any depth and without using the budget, because it
 * reached no upstream; the same holds for an attempt refused by a full host
 * while another host may have free capacity. An attempt refused because its
 * calls could not be served is the last one.
 *
 * @param input - see `RetryInput`
 * @returns `stop`; `retry`, which consumes a token; or `reroute`, which does not
 * @example
 * decideRetry({outcome: 'unknown', repeatable: false, ...rest}); // 'stop'
 */
export function decideRetry(input: RetryInput): RetryDecision {
	const {outcome, reason, repeatable, isNested, budget} = input;
	const mayRun = repeatable || outcome === 'not-run';
	const hasAttemptsLeft =
		input.attempts < input.maxAttempts && input.remainingMs > 0;
	// Calls of the request are not served wherever it runs.
	const isFutile = reason === 'calls-saturated';
	if (!mayRun || !hasAttemptsLeft || isFutile) {
		return 'stop';
	}

	const isFull = isCapacityRefusal(reason) && input.hasAvailableHost === true;
	if (outcome === 'not-run' && (isMisrouted(reason) || isFull)) {
		return 'reroute';
	}

	return !isNested && budget >= 1 ? 'retry' : 'stop';
}
