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
			// What a call that was given up brings is still of use.
			return message.callId === state.storeLoop.call?.id
				? handleStored(state, message.outcome, now)
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
			const endsAt = now + poll.waitMs;
			const waiting = {pollId, version: poll.version, endsAt};
			return createStepWithoutEffects({
				...state,
				polls: [...state.polls, waiting],
			});
		}
	}
}

/**
 * Advances a node's document machine by one message.
 *
 * Two roots in each data centre watch the store; the other nodes wait at a
 * parent for what is newer. Roots also wait at another root, so that a watch
 * that has fallen silent delays a change by one hop only. A node whose peers
 * fail one after the other reads the store itself. A document is run when its
 * version is above that of the running one, so that an old copy never takes a
 * node back.
 *
 * @param state - the state before; left as it is
 * @param message - the message to handle
 * @param now - monotonic ms
 * @returns the state after and the effects to carry out
 * @example
 * stepDocument(createDocumentState('a'), {kind: 'tick'}, 0).effects[0]; // a read
 */
export function stepDocument(
	state: DocumentState,
	message: DocumentMessage,
	now: number,
): DocumentStep {
	let step = handleMessage(state, message, now);
	for (const plan of [answerPolls, planStoreCall, planPoll]) {
		const next = plan(step.state, now);
		step = {state: next.state, effects: [...step.effects, ...next.effects]};
	}

	return step;
}
