import {computeQuotaBucket} from './compute-quota-bucket.js';
import {quotaSettleMs} from './step-quota-home.js';
import type {QuotaHome, QuotaLimit} from './quota-state.js';

/** Options of `createQuotaHome`. */
export type QuotaHomeOptions = {
	readonly limit: QuotaLimit;
	readonly share: number;
	/** Why the node becomes the home: by a change of the members (default), as it has started and may not know the other nodes yet, or as it was suspended, in which time others may have replaced it. */
	readonly cause?: 'members' | 'start' | 'suspension';
};

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
		level: cause === 'members' ? startTokens * share : 0,
		refilledAt: now + (cause === 'suspension' ? 2 : 1) * quotaSettleMs,
		share,
		nextShare: undefined,
		holders: new Map(),
	};
}
