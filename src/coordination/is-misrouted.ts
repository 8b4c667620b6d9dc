import type {OutcomeReason} from '../protocol/request.js';

/**
 * Tells whether a refusal only says that the host was the wrong one to ask, so
 * that going to another adds no load.
 *
 * @param reason - reason of the refusal
 * @returns true when it does
 * @example
 * isMisrouted('leaving'); // true
 */
export function isMisrouted(reason: OutcomeReason): boolean {
	return (
		reason === 'leaving' || reason === 'no-upstream' || reason === 'not-sent'
	);
}
