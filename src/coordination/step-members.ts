import {upstreamLeaseMs} from '../protocol/constants.js';
import {handleAnswer, handleFailure} from './_lib/members/answers.js';
import {
	handleSeeds,
	handleSeedsWatched,
	recheckSeeds,
} from './_lib/members/join.js';
import {runPeriod} from './_lib/members/period.js';
import {handleRequest} from './_lib/members/requests.js';
import {runActions} from './_lib/members/run-actions.js';
import {handleSeek, startSeeking} from './_lib/members/seek.js';
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

/**
 * After a pause of the process, extends the deadlines of suspicions and
 * contacts by its duration.
 */
function adjustForPause(state: MembersState, now: number): MembersState {
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

/**
 * Spreads a change of this node's record at once, without the delay that
 * batches changes.
 */
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

		case 'seeds-watched': {
			return handleSeedsWatched(state, message.outcome, now);
		}

		case 'seeds': {
			return handleSeeds(state, message.outcome, now, random);
		}

		case 'store-restored': {
			return recheckSeeds(state);
		}

		case 'spread': {
			return spreadChanges(state, now, random);
		}

		case 'seek': {
			return handleSeek(state, message.failures, now, random);
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
 * Expired leases are withdrawn before the message is handled, so that a process
 * that resumes after a pause does not announce their upstreams.
 *
 * @param state - the state before; not modified
 * @param message - the message to handle
 * @param now - monotonic time in ms
 * @param random - source of random numbers from 0 up to 1
 * @returns the state after and the effects to carry out
 * @example
 * stepMembers(state, {kind: 'tick'}, 1000, Math.random).effects;
 */
export function stepMembers(
	state: MembersState,
	message: MembersMessage,
	now: number,
	random: () => number,
): MembersStep {
	const handled = runActions(adjustForPause(state, now), [
		(next) => expireLeases(next, now),
		(next) => handleMessage(next, message, now, random),
	]);
	const step = startSeeking(state, handled, random);
	const {address} = state.self;
	return {
		state: {...step.state, lastStepAt: Math.max(now, state.lastStepAt)},
		effects: step.effects.filter(
			(effect) => effect.kind !== 'send' || effect.address !== address,
		),
	};
}
