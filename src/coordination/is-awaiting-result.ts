import {isAttemptInProgress} from './is-attempt-in-progress.js';
import type {RequestState} from './request-state.js';

/**
 * Tells whether a request waits for the result of an attempt that may be running.
 *
 * @param state - the request at its caller's node
 * @returns whether an upstream may be at work on it
 * @example
 * isAwaitingResult(initialRequestState); // false
 */
export function isAwaitingResult({
	phase,
	isSent,
	earlier,
}: Pick<RequestState, 'phase' | 'isSent' | 'earlier'>): boolean {
	return earlier.length > 0 || (isAttemptInProgress({phase}) && isSent);
}
