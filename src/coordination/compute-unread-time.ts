import {lagThresholdMs} from '../protocol/constants.js';

/**
 * Computes how long a request may have waited in a socket before a node read it.
 *
 * Load pattern: a node whose event loop lags. What it reads may be as old as the
 * lag. A lag of up to `lagThresholdMs` is no more than the time between two
 * requests.
 *
 * @param lagMs - event loop lag of the node, ms
 * @returns the time, ms; 0 when the lag is small
 * @example
 * computeUnreadTime(120); // 120
 */
export function computeUnreadTime(lagMs: number): number {
	return lagMs > lagThresholdMs ? lagMs : 0;
}
