import {pollAnswerSchema, type Poll} from '../../../protocol/peer.js';
import type {
	Call,
	DeliveryState,
	DeliveryStep,
	PollOutcome,
} from '../../delivery-state.js';
import {computeBackoff} from '../../compute-backoff.js';
import {acceptEntries, acceptSnapshot} from './accept-configuration.js';
import {readNewest, type DeliveryContext} from './delivery-context.js';

const unchangedPauseMs = 20;

/** Notes that another node holds a version, perhaps one that this one lacks. */
export function noteHolder(
	state: DeliveryState,
	name: string,
	version: number,
	now: number,
): DeliveryState {
	const holders = new Map(state.holders).set(name, {version, at: now});
	const isNews =
		version > readNewest(state).version &&
		version > (state.heard?.version ?? 0);
	const since = state.heard?.since ?? now;
	return {
		...state,
		holders,
		heard: isNews ? {version, name, since} : state.heard,
	};
}

/** Raises the safe version by the word of a node of the same data centre. */
function noteSafeVersion(
	state: DeliveryState,
	name: string,
	safeVersion: number,
): DeliveryState {
	const isSame = state.members.some(
		(member) => member.name === name && member.dataCentre === state.dataCentre,
	);
	return isSame && safeVersion > state.safeVersion
		? {...state, safeVersion}
		: state;
}

/**
 * Takes a poll of another node; it is answered now or when there is news.
 *
 * @param state - the state before
 * @param pollId - number by which the answer is given
 * @param poll - the poll
 * @param now - monotonic ms
 * @returns the state after
 */
export function addPoll(
	state: DeliveryState,
	pollId: number,
	poll: Poll,
	now: number,
): DeliveryState {
	const noted = noteSafeVersion(
		noteHolder(state, poll.name, poll.haveVersion, now),
		poll.name,
		poll.safeVersion,
	);
	const children = poll.progress
		? new Map(state.children).set(poll.name, {progress: poll.progress, at: now})
		: state.children;
	return {
		...noted,
		children,
		polls: [...state.polls, {pollId, poll, endsAt: now + poll.waitMs}],
	};
}

function countFailure(
	state: DeliveryState,
	call: Call,
	context: DeliveryContext,
): DeliveryState {
	switch (call.purpose.kind) {
		case 'pull': {
			const pullFailures = state.pullFailures + 1;
			const delay = computeBackoff(pullFailures, context.random());
			return {...state, pullFailures, pullAt: context.now + delay};
		}

		case 'repair': {
			return {...state, heard: undefined};
		}

		case 'notice': {
			const noticeFailures = state.noticeFailures + 1;
			const noticed = {...state.noticed, text: ''};
			return {...state, noticeFailures, noticed};
		}

		case 'source':
		case 'probe':
		case 'start-probe':
		case 'status-read':
		case 'status-write': {
			return state;
		}
	}
}

function refuseAnswer(
	state: DeliveryState,
	call: Call,
	reason: string,
	context: DeliveryContext,
): DeliveryStep {
	const member = 'member' in call.purpose ? call.purpose.member : '';
	return {
		state: countFailure(state, call, context),
		effects: [
			{
				kind: 'log',
				level: 'warn',
				message: 'answer of a peer refused',
				fields: {member, reason},
			},
		],
	};
}

/**
 * Handles the end of a call to another node.
 *
 * @param state - the state, from which the call has been taken
 * @param call - the call
 * @param outcome - how it ended; its value is checked here
 * @param context - time and rules
 * @returns the state after; nothing held changes unless all of it is valid
 */
export function handlePollAnswer(
	state: DeliveryState,
	call: Call,
	outcome: PollOutcome,
	context: DeliveryContext,
): DeliveryStep {
	if (outcome.kind === 'failed') {
		return {state: countFailure(state, call, context), effects: []};
	}

	const parsed = pollAnswerSchema.safeParse(outcome.value);
	if (!parsed.success) {
		const reason = parsed.error.issues[0]?.message ?? 'not an answer';
		const refused = refuseAnswer(state, call, reason, context);
		return {
			...refused,
			state: {...refused.state, needsSnapshot: true},
		};
	}

	const answer = parsed.data;
	const {now} = context;
	let next = state;
	for (const holder of answer.holders) {
		if (holder !== state.name) {
			next = noteHolder(next, holder, answer.version, now);
		}
	}

	next = noteHolder(next, answer.name, answer.version, now);
	next = noteSafeVersion(next, answer.name, answer.safeVersion);
	const hasRun = answer.safeVersion > 0;
	next = hasRun ? {...next, firstContactAt: next.firstContactAt ?? now} : next;
	if (call.purpose.kind === 'pull') {
		const pause = answer.kind === 'unchanged' ? unchangedPauseMs : 0;
		next = {...next, pullFailures: 0, pullAt: now + pause};
	}

	if (call.purpose.kind === 'notice') {
		next = {...next, noticeFailures: 0};
	}

	const heldBefore = readNewest(next).version;
	const step = acceptAnswer(next, answer, context);
	const isHelpful =
		answer.kind === 'unchanged' || readNewest(step.state).version > heldBefore;
	return isHelpful || call.purpose.kind !== 'pull'
		? step
		: {...step, state: countFailure(step.state, call, context)};
}

function acceptAnswer(
	state: DeliveryState,
	answer: ReturnType<typeof pollAnswerSchema.parse>,
	context: DeliveryContext,
): DeliveryStep {
	switch (answer.kind) {
		case 'unchanged': {
			return {state, effects: []};
		}

		case 'entries': {
			const step = acceptEntries(state, answer.entries, context);
			const needsSnapshot = step.hasGap || step.state.needsSnapshot;
			return {state: {...step.state, needsSnapshot}, effects: step.effects};
		}

		case 'snapshot': {
			return acceptSnapshot(state, answer.configuration, context);
		}
	}
}
