import {revocationMarginMs} from '../../protocol/constants.js';
import type {RevocationSettings} from '../../protocol/mesh-settings.js';
import type {FreshnessState} from './freshness-state.js';

/**
 * Creates the initial state of the proof of freshness.
 *
 * @param settings - the settings for revocation
 * @returns the state, without a proof
 * @example
 * createFreshnessState({maxDelayMs: 5000}).leaseMs; // 4400
 */
export function createFreshnessState({
	maxDelayMs,
}: RevocationSettings): FreshnessState {
	return {
		leaseMs: Math.max(0, maxDelayMs - revocationMarginMs),
		elapsedAt: Number.NEGATIVE_INFINITY,
		provenAt: Number.NEGATIVE_INFINITY,
		storeCallAt: Number.NEGATIVE_INFINITY,
		pollAt: Number.NEGATIVE_INFINITY,
		isUnreadable: false,
		isLeaseValid: false,
	};
}
