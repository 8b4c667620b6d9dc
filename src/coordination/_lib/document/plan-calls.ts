import {
	documentGraceMs,
	maxDocumentPeerFailures,
} from '../../../protocol/constants.js';
import type {
	DocumentEffect,
	DocumentState,
	DocumentStep,
} from '../../document-state.js';
import {computeProofWaits} from '../../freshness/compute-proof-waits.js';
import {createStepWithoutEffects} from './create-step-without-effects.js';

/**
 * Creates the next call to the store. While documents change faster than they
 * are transferred, a watch would send a full copy for each change; instead, the
 * newest copy is read until nothing has changed during the transfer. After a
 * failed call, the store may have come back from an older copy, in which a watch
 * from the revision would miss changes; it is asked for its era first. If it
 * names none, the document is read.
 */
function createStoreCall(
	{revision, hasBacklog, storeLoop, freshness}: DocumentState,
	callId: number,
): DocumentEffect & {readonly kind: 'read' | 'watch' | 'check'} {
	const timeoutMs = documentGraceMs;
	if (revision === undefined) {
		return {kind: 'read', callId, timeoutMs};
	}

	const {watchMs: waitMs} = computeProofWaits(freshness);
	return hasBacklog || storeLoop.failures > 0
		? {kind: 'check', callId, timeoutMs}
		: {kind: 'watch', callId, revision, waitMs, timeoutMs: waitMs + timeoutMs};
}

/** Calls the store if the node is a root or its peers do not answer. */
export function planStoreCall(state: DocumentState, now: number): DocumentStep {
	const {storeLoop, peers, freshness} = state;
	const isNeeded =
		state.isRoot ||
		state.peerLoop.failures >= Math.min(maxDocumentPeerFailures, peers.length);
	if (!isNeeded || storeLoop.call !== undefined || storeLoop.nextAt > now) {
		return createStepWithoutEffects(state);
	}

	const callId = state.lastCallId + 1;
	const effect = createStoreCall(state, callId);
	const endsAt = now + effect.timeoutMs;
	const call = {id: callId, endsAt, isReceiving: false};
	return {
		state: {
			...state,
			lastCallId: callId,
			storeLoop: {...storeLoop, call},
			freshness: freshness && {
				...freshness,
				storeCallAt: freshness.elapsedAt,
			},
		},
		effects: [effect],
	};
}

/**
 * Polls the current peer, unless a poll is in flight or the retry delay has not
 * passed.
 */
export function planPoll(state: DocumentState, now: number): DocumentStep {
	const {peerLoop, peers, name, freshness} = state;
	const peer = peers[state.peerIndex % Math.max(1, peers.length)];
	if (!peer || peerLoop.call !== undefined || peerLoop.nextAt > now) {
		return createStepWithoutEffects(state);
	}

	const callId = state.lastCallId + 1;
	const version = state.needsFullDocument
		? -1
		: (state.document?.version ?? -1);
	// A peer that is polled instead of one that failed answers at once, without
	// waiting for a change.
	const waitMs =
		peerLoop.failures > 0 ? 0 : computeProofWaits(freshness).pollMs;
	const timeoutMs = waitMs + documentGraceMs;
	const call = {id: callId, endsAt: now + timeoutMs, isReceiving: false};
	return {
		state: {
			...state,
			lastCallId: callId,
			peerLoop: {...peerLoop, call},
			freshness: freshness && {...freshness, pollAt: freshness.elapsedAt},
		},
		effects: [
			{
				kind: 'poll',
				callId,
				address: peer.address,
				poll: {name, version, waitMs},
				timeoutMs,
				needsNewConnection: peerLoop.failures > 0,
			},
		],
	};
}
