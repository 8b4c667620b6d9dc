import type {RequestState} from './request-state.js';

/**
 * Tells whether the current attempt of a request is in progress.
 *
 * @param state - the request at its caller's node
 * @returns whether the attempt has neither ended nor been abandoned
 * @example
 * isAttemptInProgress(initialRequestState); // false
 */
export function isAttemptInProgress({
	phase,
}: Pick<RequestState, 'phase'>): boolean {
	switch (phase) {
		case 'attempting':
		case 'asking':
		case 'fetching':
		case 'waiting-to-ask': {
			return true;
		}

		case 'new':
		case 'waiting-to-send':
		case 'waiting-for-earlier':
		case 'done': {
			return false;
		}
	}
}
