import type {OutcomeReason} from '../protocol/request.js';

/**
 * Tells whether a refusal means that the host has no free capacity now, while
 * another host may have some.
 *
 * @param reason - reason of the refusal
 * @returns true when it does
 * @example
 * isCapacityRefusal('saturated'); // true
 */
export function isCapacityRefusal(reason: OutcomeReason): boolean {
	return (
		reason === 'saturated' || reason === 'limited' || reason === 'overloaded'
	);
}
