import type {AnswerProof} from '../../protocol/routing-document.js';
import type {FreshnessState} from './freshness-state.js';

/**
 * Applies the proof in the answer to the poll in flight.
 *
 * The caller makes sure that the node runs the document of the answer or a newer
 * one. The proof time is when the poll was sent, plus the time for which it was
 * held, minus the age. The answering node measured the age after it had held the
 * poll, so that transit, queueing and suspensions on the way only make the proof
 * older. The hold time is limited to the time since the poll was sent, so that
 * no proof lies in the future.
 *
 * @param freshness - the state before
 * @param proof - the proof in the answer
 * @returns the state after
 * @example
 * applyPeerProof({...freshness, pollAt: 9000, elapsedAt: 9300}, {proofAgeMs: 500, heldMs: 200}).provenAt; // 8700
 */
export function applyPeerProof(
	freshness: FreshnessState,
	{proofAgeMs, heldMs = 0}: AnswerProof,
): FreshnessState {
	if (proofAgeMs === undefined) {
		return freshness;
	}

	const {elapsedAt, pollAt, provenAt} = freshness;
	const heldUntil = pollAt + Math.min(heldMs, elapsedAt - pollAt);
	return {...freshness, provenAt: Math.max(provenAt, heldUntil - proofAgeMs)};
}
