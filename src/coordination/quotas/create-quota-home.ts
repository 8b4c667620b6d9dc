import {computeQuotaBucket} from './compute-quota-bucket.js';
import {quotaSettleMs} from './step-quota-home.js';
import type {QuotaHome, QuotaLimit} from './quota-state.js';

/** Options of `createQuotaHome`. */
export type QuotaHomeOptions = {
	readonly limit: QuotaLimit;
	readonly share: number;
	/** Whether the node has just started, and may not know the other nodes yet; false by default. */
	readonly isStarting?: boolean;
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
	const {limit, share, isStarting = false} = options;
	const {startTokens} = computeQuotaBucket(limit);
	return {
		limit,
		level: isStarting ? 0 : startTokens * share,
		refilledAt: now + quotaSettleMs,
		share,
		nextShare: undefined,
		holders: new Map(),
	};
}
