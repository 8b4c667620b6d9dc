import type {Member} from '../protocol/member.js';
import {answerPolls} from './_lib/document/answer-polls.js';
import {acceptDocument} from './_lib/document/accept-document.js';
import {handleLateAnswer, handlePolled} from './_lib/document/handle-polled.js';
import {extendStoreCall, handleStored} from './_lib/document/handle-stored.js';
import {planPoll, planStoreCall} from './_lib/document/plan-calls.js';
import {createStepWithoutEffects} from './_lib/document/create-step-without-effects.js';
import type {
	DocumentLoop,
	DocumentMessage,
	DocumentState,
	DocumentStep,
} from './document-state.js';
import {applyStoreProof} from './freshness/apply-store-proof.js';
import {stepLease} from './freshness/step-lease.js';
import {listDocumentPeers} from './list-document-peers.js';

function updatePeers(
	state: DocumentState,
	members: readonly Member[],
): DocumentState {
	const {isRoot, peers} = listDocumentPeers(members, state.name);
	const isSame =
		peers.length === state.peers.length &&
		peers.every(({address}, index) => address === state.peers[index]?.address);
	return isSame && isRoot === state.isRoot
		? state
		: {...state, isRoot, peers, peerIndex: 0};
}

function isOverdue({call}: DocumentLoop, now: number): boolean {
	return call !== undefined && call.endsAt <= now;
}

function failOverdueCalls(state: DocumentState, now: number): DocumentStep {
	const stored = isOverdue(state.storeLoop, now)
		? handleStored(state, {kind: 'failed'}, now)
		: createStepWithoutEffects(state);
	if (!isOverdue(stored.state.peerLoop, now)) {
		return stored;
	}

	const polled = handlePolled(stored.state, {kind: 'failed'}, now);
	return {state: polled.state, effects: [...stored.effects, ...polled.effects]};
}

function handleMessage(
	state: DocumentState,
	message: DocumentMessage,
	now: number,
): DocumentStep {
	switch (message.kind) {
		case 'view': {
			return createStepWithoutEffects(updatePeers(state, message.members));
		}

		case 'tick': {
			return failOverdueCalls(state, now);
		}

		case 'stored': {
			// A document that arrives after its call has timed out is still used.
			return message.callId === state.storeLoop.call?.id
				? handleStored(
						{...state, freshness: applyStoreProof(state, message.outcome)},
						message.outcome,
						now,
					)
				: message.outcome.kind === 'read'
					? acceptDocument(state, message.outcome.document, 'store', now)
					: createStepWithoutEffects(state);
		}

		case 'polled': {
			return message.callId === state.peerLoop.call?.id
				? handlePolled(state, message.outcome, now)
				: handleLateAnswer(state, message.outcome, now);
		}

		case 'receiving': {
			return createStepWithoutEffects(
				extendStoreCall(state, message.callId, now),
			);
		}

		case 'poll': {
			const {pollId, poll} = message;
			const waiting = {
				pollId,
				version: poll.version,
				arrivedAt: now,
				endsAt: now + poll.waitMs,
				provenAt: state.freshness?.provenAt,
			};
			return createStepWithoutEffects({
				...state,
				polls: [...state.polls, waiting],
			});
		}
	}
}

/**
 * Advances a node's document state machine by one message.
 *
 * Two roots in each data centre watch the store; the other nodes long-poll a
 * parent for a newer document. Roots also long-poll another root, so that a
 * watch that no longer delivers changes delays a change by one hop only. A node
 * whose peers fail one after the other reads the store itself. A document is run
 * only if its version is higher than that of the running one, so that a stale
 * copy never rolls a node back.
 *
 * @param state - the state before; not modified
 * @param message - the message to handle
 * @param now - monotonic ms
 * @param elapsedAt - elapsed time, which counts suspensions of the machine, ms
 * @returns the state after and the effects to carry out
 * @example
 * stepDocument(createDocumentState('a'), {kind: 'tick'}, 0).effects[0]; // a read
 */
export function stepDocument(
	state: DocumentState,
	message: DocumentMessage,
	now: number,
	elapsedAt = now,
): DocumentStep {
	const {freshness} = state;
	const current = freshness
		? {...state, freshness: {...freshness, elapsedAt}}
		: state;
	let step = handleMessage(current, message, now);
	for (const plan of [answerPolls, planStoreCall, planPoll, stepLease]) {
		const next = plan(step.state, now);
		step = {state: next.state, effects: [...step.effects, ...next.effects]};
	}

	return step;
}
