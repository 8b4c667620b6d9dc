import {lagThresholdMs} from '../protocol/constants.js';

/**
 * Computes how long a request may have waited in a socket before a node read it.
 *
 * Load pattern: a node whose event loop lags. A wait of up to `lagThresholdMs` is
 * no more than the time between two requests.
 *
 * @param waitMs - longest wait in the socket, ms
 * @returns the time, ms; 0 when the wait is short
 * @example
 * computeUnreadTime(120); // 120
 */
export function computeUnreadTime(waitMs: number): number {
	return waitMs > lagThresholdMs ? waitMs : 0;
}
