import {
	documentRetryCapMs,
	documentRetryBaseMs,
} from '../../../protocol/constants.js';
import type {DocumentLoop} from '../../document-state.js';

/**
 * Ends the call of a loop; after a failure the next call is delayed with
 * exponential backoff.
 */
export function endCall(
	loop: DocumentLoop,
	hasFailed: boolean,
	now: number,
): DocumentLoop {
	if (!hasFailed) {
		return {call: undefined, failures: 0, nextAt: now};
	}

	const delayMs = Math.min(
		documentRetryCapMs,
		documentRetryBaseMs * 2 ** Math.min(loop.failures, 10),
	);
	return {call: undefined, failures: loop.failures + 1, nextAt: now + delayMs};
}
