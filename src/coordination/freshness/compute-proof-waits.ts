import {
	documentPollWaitMs,
	documentWatchWaitMs,
	minProofPollWaitMs,
	revocationStaleRatio,
	revocationWatchWaitMs,
} from '../../protocol/constants.js';
import {computeProofAge} from './compute-proof-age.js';
import type {FreshnessState} from './freshness-state.js';
import {isProofStale} from './is-proof-stale.js';

/** Waits of the calls for a document, ms. */
export type ProofWaits = {
	/** Maximum wait of a watch of the store. */
	readonly watchMs: number;
	/** Maximum wait of a poll of another node. */
	readonly pollMs: number;
};

/**
 * Computes how long calls for a document may wait for a change.
 *
 * A pending watch proves nothing, so it waits less if proofs are required, and
 * not at all once the proof is stale. While the store holds a document that
 * cannot be read, no watch brings a proof, so that one without a wait would be
 * repeated without delay. A poll ends before the proof becomes stale, as the
 * polled node may be cut off.
 *
 * @param freshness - the state; undefined if no proofs are required
 * @returns the waits
 * @example
 * computeProofWaits(undefined).watchMs; // 3000
 */
export function computeProofWaits(
	freshness: FreshnessState | undefined,
): ProofWaits {
	if (!freshness) {
		return {watchMs: documentWatchWaitMs, pollMs: documentPollWaitMs};
	}

	const staleInMs =
		freshness.leaseMs * revocationStaleRatio - computeProofAge(freshness);
	return {
		watchMs:
			isProofStale(freshness) && !freshness.isUnreadable
				? 0
				: revocationWatchWaitMs,
		pollMs: Math.min(
			documentPollWaitMs,
			Math.max(minProofPollWaitMs, Math.round(staleInMs)),
		),
	};
}
