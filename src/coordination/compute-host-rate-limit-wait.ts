import {turnTrustMs} from '../protocol/constants.js';
import type {HostRecord} from './step-host-record.js';

/**
 * Computes how long a request would wait at a host for its turn under the rate
 * limit of the upstream there, as far as the caller's node knows.
 *
 * A report counts for a short time only: without requests there is none that
 * tells of the limit's end.
 *
 * @param record - what is known of the host
 * @param now - monotonic ms
 * @returns the wait, ms; 0 when no limit is known
 * @example
 * computeHostTurnWait(undefined, 0); // 0
 */
export function computeHostRateLimitWait(
	record: HostRecord | undefined,
	now: number,
): number {
	return record?.rateLimit && now - record.reportedAt <= turnTrustMs
		? Math.max(0, record.rateLimit.nextSendAt - now)
		: 0;
}
