import {outdatedLagMs} from '../protocol/constants.js';

/**
 * Computes how long a request may have lain unread before a node read it.
 *
 * Answers the load of a node that runs late: what it reads is as old as the
 * node is late. A small lag is no more than the time between two requests.
 *
 * @param lagMs - how late the node runs, ms
 * @returns the time, ms; 0 when the lag is small
 * @example
 * computeUnreadTime(120); // 120
 */
export function computeUnreadTime(lagMs: number): number {
	return lagMs > outdatedLagMs ? lagMs : 0;
}
