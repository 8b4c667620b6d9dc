import {upstreamLeaseMs} from '../protocol/constants.js';
import {handleAnswer, handleFailure} from './_lib/members/answers.js';
import {handleSeeds} from './_lib/members/join.js';
import {runPeriod} from './_lib/members/period.js';
import {handleRequest} from './_lib/members/requests.js';
import {runActions} from './_lib/members/run-actions.js';
import {announceLeave, spreadChanges} from './_lib/members/spread.js';
import {
	announceUpstream,
	expireLeases,
	withdrawUpstream,
} from './_lib/members/upstreams.js';
import type {
	MembersMessage,
	MembersState,
	MembersStep,
} from './members-state.js';

type Random = () => number;

/** Delays every judgement of others by the time that the process stood still. */
function wake(state: MembersState, now: number): MembersState {
	const gapMs = now - state.lastStepAt;
	if (gapMs < upstreamLeaseMs) {
		return state;
	}

	return {
		...state,
		resumedAt: now,
		probe: undefined,
		sync: undefined,
		suspicions: new Map(
			[...state.suspicions].map(([name, endsAt]) => [name, endsAt + gapMs]),
		),
		contacts: new Map(
			[...state.contacts].map(([name, contact]) => [
				name,
				{...contact, answeredAt: contact.answeredAt + gapMs},
			]),
		),
	};
}

/** Spreads a change of the own record without the delay that collects more. */
function spreadAtOnce(
	before: MembersState,
	step: MembersStep,
	now: number,
	random: Random,
): MembersStep {
	if (step.state.self === before.self) {
		return step;
	}

	const spread = spreadChanges(step.state, now, random);
	return {state: spread.state, effects: [...step.effects, ...spread.effects]};
}

function handleMessage(
	state: MembersState,
	message: MembersMessage,
	now: number,
	random: Random,
): MembersStep {
	switch (message.kind) {
		case 'announce': {
			const {id, announcement} = message;
			const step = announceUpstream(state, id, announcement, now);
			return announcement.state === 'leaving'
				? spreadAtOnce(state, step, now, random)
				: step;
		}

		case 'withdraw': {
			const step = withdrawUpstream(state, message.id, now);
			return spreadAtOnce(state, step, now, random);
		}

		case 'request': {
			return handleRequest(state, message.request, now);
		}

		case 'answer': {
			return handleAnswer(state, message, now);
		}

		case 'failure': {
			return handleFailure(state, message, now, random);
		}

		case 'seeds': {
			return handleSeeds(state, message.outcome, now, random);
		}

		case 'spread': {
			return spreadChanges(state, now, random);
		}

		case 'leave': {
			return announceLeave(state, now, random);
		}

		case 'tick': {
			return runPeriod(state, now, random);
		}
	}
}

/**
 * Advances a node's membership by one message.
 *
 * Leases that have ended are withdrawn before anything is said, so a process
 * that was paused does not speak for them when it wakes.
 *
 * @param state - the state before; left as it is
 * @param message - the message to handle
 * @param now - monotonic time in ms
 * @param random - source of numbers from 0 up to 1
 * @returns the state after, and what the task is to do
 * @example
 * stepMembers(state, {kind: 'tick'}, 1000, Math.random).effects;
 */
export function stepMembers(
	state: MembersState,
	message: MembersMessage,
	now: number,
	random: () => number,
): MembersStep {
	const step = runActions(wake(state, now), [
		(next) => expireLeases(next, now),
		(next) => handleMessage(next, message, now, random),
	]);
	const {address} = state.self;
	return {
		state: {...step.state, lastStepAt: Math.max(now, state.lastStepAt)},
		effects: step.effects.filter(
			(effect) => effect.kind !== 'send' || effect.address !== address,
		),
	};
}
