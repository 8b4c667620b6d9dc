import {computeQuotaBucket} from './compute-quota-bucket.js';
import {quotaSettleMs} from './step-quota-home.js';
import type {QuotaHome, QuotaLimit} from './quota-state.js';

/** Options of `createQuotaHome`. */
export type QuotaHomeOptions = {
	readonly limit: QuotaLimit;
	readonly share: number;
	/** Why the node becomes the home: by a change of the members (default), as its predecessor has been suspect for so long that all nodes know, as it has started and may not know the other nodes yet, or as it was suspended, in which time others may have replaced it. */
	readonly cause?: 'members' | 'suspicion' | 'start' | 'suspension';
};

/** Time before a new bucket is refilled, in times of `quotaSettleMs`. */
const settleRatios = {members: 1, suspicion: 0, start: 1, suspension: 2};

/**
 * Creates the bucket of a tenant at a node that becomes its quota home. It does
 * not know what its predecessor granted, so it starts nearly empty, and refills
 * once the predecessor must have learned of the change.
 *
 * @param options - see `QuotaHomeOptions`
 * @param now - monotonic ms
 * @returns the bucket
 * @example
 * createQuotaHome({limit, share: 1}, 0).level; // 2, with a slack of 20
 */
export function createQuotaHome(
	options: QuotaHomeOptions,
	now: number,
): QuotaHome {
	const {limit, share, cause = 'members'} = options;
	const {startTokens} = computeQuotaBucket(limit);
	return {
		limit,
		level:
			cause === 'members' || cause === 'suspicion' ? startTokens * share : 0,
		refilledAt: now + settleRatios[cause] * quotaSettleMs,
		share,
		nextShare: undefined,
		holders: new Map(),
	};
}
