import type {OutcomeKind} from '../protocol/request.js';

/** What the decision to retry depends on. */
export type RetryInput = {
	/** Outcome of the last attempt. */
	readonly outcome: Exclude<OutcomeKind, 'answered'>;
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
};

/**
 * Decides whether an attempt that was not answered is followed by another.
 *
 * @param input - see `RetryInput`
 * @returns true when another attempt may be made
 * @example
 * decideRetry({outcome: 'unknown', repeatable: false, ...rest}); // false
 */
export function decideRetry(input: RetryInput): boolean {
	return (
		(input.repeatable || input.outcome === 'not-run') &&
		!input.isNested &&
		input.attempts < input.maxAttempts &&
		input.remainingMs > 0 &&
		input.budget >= 1
	);
}
