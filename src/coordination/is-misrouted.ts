import type {OutcomeReason} from '../protocol/request.js';

/**
 * Tells whether a refusal only means that the attempt was sent to the wrong host,
 * so that an attempt at another host adds no load.
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
