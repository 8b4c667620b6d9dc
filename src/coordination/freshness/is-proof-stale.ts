import {revocationStaleRatio} from '../../protocol/constants.js';
import {computeProofAge} from './compute-proof-age.js';
import type {FreshnessState} from './freshness-state.js';

/**
 * Returns whether a node should look for a proof at other nodes and the store,
 * because its own has used up most of the lease.
 *
 * @param freshness - the state; undefined if no proofs are required
 * @returns whether the proof is stale
 * @example
 * isProofStale(undefined); // false
 */
export function isProofStale(freshness: FreshnessState | undefined): boolean {
	return (
		freshness !== undefined &&
		computeProofAge(freshness) > freshness.leaseMs * revocationStaleRatio
	);
}
