import type {FreshnessState} from './freshness-state.js';

/**
 * Computes the age of a node's proof of freshness.
 *
 * @param freshness - the state; undefined if no proofs are required
 * @param elapsedAt - elapsed time, ms
 * @returns the age, ms; infinity without a proof
 * @example
 * computeProofAge(undefined, 5); // Infinity
 */
export function computeProofAge(
	freshness: FreshnessState | undefined,
	elapsedAt = freshness?.elapsedAt ?? 0,
): number {
	return freshness && Number.isFinite(freshness.provenAt)
		? Math.max(0, elapsedAt - freshness.provenAt)
		: Number.POSITIVE_INFINITY;
}
