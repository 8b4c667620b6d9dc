import {rateLimitWaitExpiryMs} from '../protocol/constants.js';
import type {HostRecord} from './step-host-record.js';

/**
 * Computes how long a request would wait at a host under the rate limit of the
 * upstream there, as known to the caller's node.
 *
 * A report is used for a short time only: without requests to the host there is
 * no report that announces the end of the limit.
 *
 * @param record - the record of the host, undefined when there is none
 * @param now - monotonic ms
 * @returns the wait, ms; 0 when no limit is known
 * @example
 * computeHostRateLimitWait(undefined, 0); // 0
 */
export function computeHostRateLimitWait(
	record: HostRecord | undefined,
	now: number,
): number {
	return record?.rateLimit && now - record.reportedAt <= rateLimitWaitExpiryMs
		? Math.max(0, record.rateLimit.nextSendAt - now)
		: 0;
}
