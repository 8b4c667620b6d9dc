import {
	documentGraceMs,
	documentPeerFailures,
	documentPollMs,
	documentWatchMs,
} from '../../../protocol/constants.js';
import type {
	DocumentEffect,
	DocumentState,
	DocumentStep,
} from '../../document-state.js';
import {createStepWithoutEffects} from './create-step-without-effects.js';

/**
 * Creates the next call on the store. While changes come faster than copies
 * arrive, a watch would send each of them whole: one copy of the newest is read
 * instead until nothing has changed meanwhile.
 */
function createStoreCall(
	{revision, hasBacklog}: DocumentState,
	callId: number,
): DocumentEffect & {readonly kind: 'read' | 'watch' | 'check'} {
	const timeoutMs = documentGraceMs;
	if (revision === undefined) {
		return {kind: 'read', callId, timeoutMs};
	}

	const waitMs = documentWatchMs;
	return hasBacklog
		? {kind: 'check', callId, timeoutMs}
		: {kind: 'watch', callId, revision, waitMs, timeoutMs: waitMs + timeoutMs};
}

/** Calls the store where a node watches it, or has no peer that answers. */
export function planStoreCall(state: DocumentState, now: number): DocumentStep {
	const {storeLoop, peers} = state;
	const isNeeded =
		state.isRoot ||
		state.peerLoop.failures >= Math.min(documentPeerFailures, peers.length);
	if (!isNeeded || storeLoop.call !== undefined || storeLoop.nextAt > now) {
		return createStepWithoutEffects(state);
	}

	const callId = state.lastCallId + 1;
	const effect = createStoreCall(state, callId);
	const endsAt = now + effect.timeoutMs;
	const call = {id: callId, endsAt, hasBegun: false};
	return {
		state: {...state, lastCallId: callId, storeLoop: {...storeLoop, call}},
		effects: [effect],
	};
}

/** Polls the peer whose turn it is, unless a poll is in flight. */
export function planPoll(state: DocumentState, now: number): DocumentStep {
	const {peerLoop, peers, name} = state;
	const peer = peers[state.peerIndex % Math.max(1, peers.length)];
	if (!peer || peerLoop.call !== undefined || peerLoop.nextAt > now) {
		return createStepWithoutEffects(state);
	}

	const callId = state.lastCallId + 1;
	const version = state.needsFullDocument
		? -1
		: (state.document?.version ?? -1);
	// A peer that is asked in place of a silent one tells at once what it has.
	const waitMs = peerLoop.failures > 0 ? 0 : documentPollMs;
	const timeoutMs = waitMs + documentGraceMs;
	const call = {id: callId, endsAt: now + timeoutMs, hasBegun: false};
	return {
		state: {...state, lastCallId: callId, peerLoop: {...peerLoop, call}},
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
