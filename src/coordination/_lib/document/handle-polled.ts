import {err, ok, type Result} from 'neverthrow';
import {
	documentParentRetryMs,
	documentRetryBaseMs,
	documentStaleMs,
	proofRoundDelayMs,
} from '../../../protocol/constants.js';
import type {
	DocumentAnswer,
	RoutingDocument,
} from '../../../protocol/routing-document.js';
import {applyDocumentChanges} from '../../../state/apply-document-changes.js';
import type {
	DocumentEffect,
	DocumentState,
	DocumentStep,
	PeerDocumentOutcome,
} from '../../document-state.js';
import {applyPeerProof} from '../../freshness/apply-peer-proof.js';
import {isProofStale} from '../../freshness/is-proof-stale.js';
import {acceptDocument} from './accept-document.js';
import {endCall} from './end-call.js';
import {createStepWithoutEffects} from './create-step-without-effects.js';

function isAtParent({peerIndex, peers}: DocumentState): boolean {
	return peerIndex % Math.max(1, peers.length) === 0;
}

function selectNextPeer(
	state: DocumentState,
	now: number,
): Pick<DocumentState, 'peerIndex' | 'leftParentAt'> {
	return {
		peerIndex: state.peerIndex + 1,
		leftParentAt: isAtParent(state) ? now : state.leftParentAt,
	};
}

/**
 * Returns to the parent `documentParentRetryMs` after it was left. This restores the
 * distribution of load after a short disturbance: otherwise all children would
 * stay at the few peers that answered during it.
 */
function returnToParent(
	state: DocumentState,
	now: number,
): Pick<DocumentState, 'peerIndex'> {
	const isDue = now - state.leftParentAt >= documentParentRetryMs;
	return {peerIndex: isDue ? 0 : state.peerIndex};
}

/**
 * Returns whether calls of a root to the store fail. The root then polls its
 * peers in turn: calls of the other root of its data centre may fail as well,
 * and answers of that root become stale only after some seconds.
 */
function isRootWithoutStore({isRoot, storeLoop}: DocumentState): boolean {
	return isRoot && storeLoop.failures > 0;
}

/**
 * Selects the next peer and polls it at once or after `delayMs`, or after a
 * longer delay if every peer has been polled.
 */
function failPoll(
	state: DocumentState,
	now: number,
	delayMs = 0,
): DocumentState {
	const nextAt = now + delayMs;
	const peerLoop = {...endCall(state.peerLoop, true, now), nextAt};
	return {
		...state,
		...selectNextPeer(state, now),
		peerLoop:
			(state.peerIndex + 1) % Math.max(1, state.peers.length) === 0
				? endCall(state.peerLoop, true, now)
				: peerLoop,
	};
}

function createUnusableLog(
	state: DocumentState,
	source: string,
	reason: string,
): DocumentEffect {
	return {
		kind: 'log',
		level: 'warn',
		message: 'configuration of a peer not usable',
		fields: {source, reason, version: state.document?.version},
	};
}

/** Polls another peer for the full document. */
function handleMalformed(
	state: DocumentState,
	source: string,
	reason: string,
	now: number,
): DocumentStep {
	return {
		state: {...failPoll(state, now), needsFullDocument: true},
		effects: [createUnusableLog(state, source, reason)],
	};
}

/**
 * Returns the document that results from an answer, undefined if nothing is
 * newer, or why the changes cannot be applied.
 */
function resolveAnswer(
	state: DocumentState,
	answer: DocumentAnswer,
): Result<RoutingDocument | undefined, string> {
	switch (answer.kind) {
		case 'unchanged': {
			return ok(undefined);
		}

		case 'whole': {
			return ok(answer.document);
		}

		case 'changes': {
			const {changes} = answer;
			const {document} = state;
			if (document && document.version >= changes.to) {
				return ok(undefined);
			}

			const base = [...state.earlierDocuments, document].find(
				(kept) => kept?.version === changes.from,
			);
			return base
				? applyDocumentChanges(base, changes)
				: err(`base version ${changes.from} is not available`);
		}
	}
}

/**
 * Returns whether another source of proofs is needed after an answer. The proof
 * that a root got from the store counts for it. For other nodes only that in the
 * answer counts, so that a node that the store serves while its peers are turned
 * away goes on watching, and its peers get proofs from it.
 */
function needsOtherProof(
	state: DocumentState,
	answer: DocumentAnswer,
): boolean {
	const {freshness, isRoot} = state;
	const provenAt = isRoot ? freshness?.provenAt : undefined;
	return isProofStale(
		freshness &&
			applyPeerProof(
				{...freshness, provenAt: provenAt ?? Number.NEGATIVE_INFINITY},
				answer,
			),
	);
}

/** Handles the outcome of a poll of another node. */
export function handlePolled(
	state: DocumentState,
	outcome: PeerDocumentOutcome,
	now: number,
): DocumentStep {
	const source = state.peers[state.peerIndex % state.peers.length]?.name ?? '';
	if (outcome.kind === 'failed') {
		return createStepWithoutEffects(failPoll(state, now));
	}

	if (outcome.kind === 'malformed') {
		return handleMalformed(state, source, outcome.reason, now);
	}

	const {answer} = outcome;
	const answered = resolveAnswer(state, answer);
	if (answered.isErr()) {
		return handleMalformed(state, source, answered.error, now);
	}

	const {ageMs} = answer;
	// A process that was paused reads an answer long after it has arrived.
	const answeredAt = Math.min(now, state.peerLoop.call?.endsAt ?? now);
	const step = acceptDocument(state, answered.value, source, now);
	// The node now runs the document of the answer or a newer one, to which the proof belongs.
	const freshness = state.freshness && applyPeerProof(state.freshness, answer);
	const isStale = ageMs > documentStaleMs;
	const shouldSwitchPeer = isStale || isRootWithoutStore(state);
	const after = {
		...step.state,
		freshness,
		needsFullDocument: false,
		confirmedAt: Math.max(state.confirmedAt, answeredAt - ageMs),
		// The known revision of the store is older than the document from the peer.
		hasBacklog: state.hasBacklog || step.state.document !== state.document,
	};
	if (needsOtherProof(state, answer)) {
		const failed = failPoll(after, now, documentRetryBaseMs);
		const nextAt = Math.min(failed.peerLoop.nextAt, now + proofRoundDelayMs);
		return {
			...step,
			state: {...failed, peerLoop: {...failed.peerLoop, nextAt}},
		};
	}

	return {
		...step,
		state: {
			...after,
			peerLoop: endCall(state.peerLoop, isStale, now),
			...(shouldSwitchPeer
				? selectNextPeer(state, now)
				: returnToParent(state, now)),
		},
	};
}

/** Handles the outcome of a poll that has already timed out; a document is still used. */
export function handleLateAnswer(
	state: DocumentState,
	outcome: PeerDocumentOutcome,
	now: number,
): DocumentStep {
	if (outcome.kind !== 'answered') {
		return createStepWithoutEffects(state);
	}

	const source = 'late answer';
	return resolveAnswer(state, outcome.answer).match(
		(document) => acceptDocument(state, document, source, now),
		(reason) => ({state, effects: [createUnusableLog(state, source, reason)]}),
	);
}
