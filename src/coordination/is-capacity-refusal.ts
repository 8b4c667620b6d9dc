import type {OutcomeReason} from '../protocol/request.js';

/**
 * Tells whether a refusal says that the host has no room now, while another one
 * may have.
 *
 * @param reason - reason of the refusal
 * @returns true when it does
 * @example
 * isForWantOfRoom('saturated'); // true
 */
export function isCapacityRefusal(reason: OutcomeReason): boolean {
	return (
		reason === 'saturated' || reason === 'limited' || reason === 'overloaded'
	);
}
