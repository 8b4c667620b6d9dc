import {
	logRingSize,
	probeIntervalMs,
	repairAfterMs,
	requiredHolders,
	settleMs,
	treeFanOut,
} from '../protocol/constants.js';
import type {Member} from '../protocol/member.js';
import {applyEntry} from '../state/apply-entry.js';
import {validateConfiguration} from '../state/validate-configuration.js';
import {acceptEntries} from './_lib/delivery/accept-configuration.js';
import {answerPolls} from './_lib/delivery/answer-polls.js';
import {expireChildren} from './_lib/delivery/compute-progress.js';
import {
	runDeliveryActions,
	type DeliveryContext,
	type DeliveryRules,
} from './_lib/delivery/delivery-context.js';
import {
	addPoll,
	handlePollAnswer,
	recordHolder,
} from './_lib/delivery/handle-peer.js';
import {handlePlatformAnswer} from './_lib/delivery/handle-platform.js';
import {planCalls} from './_lib/delivery/plan-calls.js';
import {planStatus} from './_lib/delivery/report-status.js';
import {
	expireHolders,
	updateRunning,
	updateSafeVersion,
} from './_lib/delivery/update-running.js';
import {computePosition} from './compute-position.js';
import type {
	Call,
	DeliveryMessage,
	DeliveryState,
	DeliveryStep,
} from './delivery-state.js';

/** Options of `stepDelivery`. */
export type DeliveryOptions = {
	/** Monotonic ms since the epoch. */
	readonly now: number;
	/** Seeded or real source of numbers from 0 up to 1. */
	readonly random: () => number;
	/** Rules that differ from the defaults, which are the named constants. */
	readonly rules?: Partial<DeliveryRules>;
};

const defaultRules: DeliveryRules = {
	requiredHolders,
	settleMs,
	repairAfterMs,
	probeIntervalMs,
	fanOut: treeFanOut,
	ringSize: logRingSize,
	applyEntry,
	validateConfiguration,
};

function takeCall(
	state: DeliveryState,
	callId: number,
): {readonly state: DeliveryState; readonly call: Call | undefined} {
	const call = state.calls.get(callId);
	const calls = new Map(state.calls);
	calls.delete(callId);
	return {state: {...state, calls}, call};
}

function failOverdueCalls(
	state: DeliveryState,
	context: DeliveryContext,
): DeliveryStep {
	let step: DeliveryStep = {state, effects: []};
	for (const [callId, {endsAt, purpose}] of state.calls) {
		if (endsAt > context.now) {
			continue;
		}

		const message: DeliveryMessage =
			'member' in purpose
				? {
						kind: 'poll-answer',
						callId,
						outcome: {kind: 'failed', reason: 'overdue'},
					}
				: {kind: 'platform-answer', callId, outcome: {kind: 'unavailable'}};
		const next = handleMessage(step.state, message, context);
		step = {state: next.state, effects: [...step.effects, ...next.effects]};
	}

	return step;
}

function takeView(
	state: DeliveryState,
	members: readonly Member[],
	context: DeliveryContext,
): DeliveryState {
	const self = members.find(({name}) => name === state.name);
	const position = self && computePosition(members, self, context.rules.fanOut);
	return {...state, members, position};
}

function handleMessage(
	state: DeliveryState,
	message: DeliveryMessage,
	context: DeliveryContext,
): DeliveryStep {
	switch (message.kind) {
		case 'view': {
			return {state: takeView(state, message.members, context), effects: []};
		}

		case 'tick': {
			const step = failOverdueCalls(state, context);
			const kept = expireHolders(step.state, context.now);
			return {...step, state: expireChildren(kept, context.now)};
		}

		case 'entries': {
			return acceptEntries(state, message.entries, context);
		}

		case 'holder': {
			const {name, version} = message;
			return {
				state: recordHolder(state, name, version, context.now),
				effects: [],
			};
		}

		case 'poll': {
			const {pollId, poll} = message;
			return {
				state: addPoll(state, pollId, poll, context.now),
				effects: [],
			};
		}

		case 'platform-answer': {
			const taken = takeCall(state, message.callId);
			return taken.call
				? handlePlatformAnswer(
						taken.state,
						taken.call,
						message.outcome,
						context,
					)
				: {state, effects: []};
		}

		case 'poll-answer': {
			const taken = takeCall(state, message.callId);
			return taken.call
				? handlePollAnswer(taken.state, taken.call, message.outcome, context)
				: {state, effects: []};
		}
	}
}

/**
 * Advances a node's delivery machine by one message.
 *
 * After each message the machine raises the version that is safe, runs what
 * it may, answers waiting polls, and starts every call that it should have in
 * flight. A root reads the platform; a child polls its parent; whoever hears
 * of a version that it still lacks after a while asks the node that has it.
 *
 * @param state - the state before; left as it is
 * @param message - the message to handle
 * @param options - see `DeliveryOptions`
 * @returns the state after and the effects to carry out
 * @example
 * stepDelivery(createDeliveryState('a', 'abdali'), {kind: 'tick'}, {now, random});
 */
export function stepDelivery(
	state: DeliveryState,
	message: DeliveryMessage,
	options: DeliveryOptions,
): DeliveryStep {
	const {now, random, rules} = options;
	const context = {now, random, rules: {...defaultRules, ...rules}};
	return runDeliveryActions(
		handleMessage(state, message, context),
		[updateSafeVersion, updateRunning, answerPolls, ...planCalls, planStatus],
		context,
	);
}
