import type {DocumentState, StoredDocumentOutcome} from '../document-state.js';
import type {FreshnessState} from './freshness-state.js';

/** Returns whether the store has come back from an older copy since the call for the revision. */
function isRestored(
	before: DocumentState,
	{era, revision}: {era?: number | undefined; revision: number | undefined},
): boolean {
	const isLower = revision !== undefined && revision < (before.revision ?? 0);
	return before.revision !== undefined && (era !== before.era || isLower);
}

/** Decides what the outcome of a call says about the store's newest document. */
function decideStoreProof(
	before: DocumentState,
	outcome: StoredDocumentOutcome,
): 'newest-runs' | 'unreadable' | 'nothing' {
	const isUnreadable = before.freshness?.isUnreadable ?? false;
	switch (outcome.kind) {
		case 'read': {
			if (outcome.isUnreadable) {
				return 'unreadable';
			}

			// A read without a revision to watch from returns the content of the store, a watch only what has changed.
			const isComplete =
				outcome.document !== undefined || before.revision === undefined;
			return isRestored(before, outcome) || (isUnreadable && !isComplete)
				? 'nothing'
				: 'newest-runs';
		}

		case 'revision': {
			const isSame =
				outcome.revision !== undefined &&
				outcome.revision === before.revision &&
				outcome.era === before.era;
			return isSame && !isUnreadable ? 'newest-runs' : 'nothing';
		}

		case 'compacted':
		case 'failed': {
			return 'nothing';
		}
	}
}

/**
 * Applies the proof that the outcome of the call in flight to the store gives:
 * it proves that the running document is the newest one as of the moment at
 * which the call began. The caller runs the document of the outcome in the same
 * step.
 *
 * @param before - the state of the document before the outcome
 * @param outcome - outcome of the call
 * @returns the state of the proof; undefined if no proofs are required
 * @example
 * applyStoreProof(state, {kind: 'failed'}) === state.freshness; // true
 */
export function applyStoreProof(
	before: DocumentState,
	outcome: StoredDocumentOutcome,
): FreshnessState | undefined {
	const {freshness} = before;
	if (!freshness) {
		return undefined;
	}

	const proof = decideStoreProof(before, outcome);
	switch (proof) {
		case 'newest-runs': {
			const provenAt = Math.max(freshness.provenAt, freshness.storeCallAt);
			return {...freshness, provenAt, isUnreadable: false};
		}

		case 'unreadable': {
			return {...freshness, isUnreadable: true};
		}

		case 'nothing': {
			return freshness;
		}
	}
}
