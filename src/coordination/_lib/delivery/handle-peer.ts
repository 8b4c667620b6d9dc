import {pollAnswerSchema, type Poll} from '../../../protocol/peer.js';
import type {
	Call,
	DeliveryState,
	DeliveryStep,
	PollOutcome,
} from '../../delivery-state.js';
import {computeBackoff} from '../../compute-backoff.js';
import {acceptEntries, acceptSnapshot} from './accept-configuration.js';
import {
	findNewestConfiguration,
	type DeliveryContext,
} from './delivery-context.js';

const unchangedPauseMs = 20;

/** Notes that another node holds a version, perhaps one that this one lacks. */
export function recordHolder(
	state: DeliveryState,
	name: string,
	version: number,
	now: number,
): DeliveryState {
	const holders = new Map(state.holders).set(name, {version, at: now});
	const isNews =
		version > findNewestConfiguration(state).version &&
		version > (state.missingVersion?.version ?? 0);
	const since = state.missingVersion?.since ?? now;
	return {
		...state,
		holders,
		missingVersion: isNews ? {version, name, since} : state.missingVersion,
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
		recordHolder(state, poll.name, poll.haveVersion, now),
		poll.name,
		poll.safeVersion,
	);
	const children = poll.progress
		? new Map(state.children).set(poll.name, {
				progress: poll.progress,
				receivedAt: now,
			})
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
			return {...state, pullFailures, nextPullAt: context.now + delay};
		}

		case 'repair': {
			return {...state, missingVersion: undefined};
		}

		case 'report': {
			const reportFailures = state.reportFailures + 1;
			const lastReport = {...state.lastReport, text: ''};
			return {...state, reportFailures, lastReport};
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
			next = recordHolder(next, holder, answer.version, now);
		}
	}

	next = recordHolder(next, answer.name, answer.version, now);
	next = noteSafeVersion(next, answer.name, answer.safeVersion);
	const hasRun = answer.safeVersion > 0;
	next = hasRun ? {...next, firstContactAt: next.firstContactAt ?? now} : next;
	if (call.purpose.kind === 'pull') {
		const pause = answer.kind === 'unchanged' ? unchangedPauseMs : 0;
		next = {...next, pullFailures: 0, nextPullAt: now + pause};
	}

	if (call.purpose.kind === 'report') {
		next = {...next, reportFailures: 0};
	}

	const heldBefore = findNewestConfiguration(next).version;
	const step = acceptAnswer(next, answer, context);
	const isHelpful =
		answer.kind === 'unchanged' ||
		findNewestConfiguration(step.state).version > heldBefore;
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
