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
}: Pick<RequestState, 'phase' | 'isSent'>): boolean {
	switch (phase) {
		case 'attempting':
		case 'asking':
		case 'fetching':
		case 'waiting-to-ask': {
			return isSent;
		}

		case 'new':
		case 'waiting-to-send':
		case 'done': {
			return false;
		}
	}
}
