import {
	askRetryMs,
	maxAsks,
	maxFullReroutes,
	maxReroutes,
	maxRestamps,
} from '../protocol/constants.js';
import type {OutcomeReason} from '../protocol/request.js';
import {computeRetryDelay} from './compute-retry-delay.js';
import {decideRetry} from './decide-retry.js';
import {isAwaitingResult} from './is-awaiting-result.js';
import {isCapacityRefusal} from './is-capacity-refusal.js';
import {isMisrouted} from './is-misrouted.js';
import type {
	AttemptEnding,
	RequestContext,
	RequestMessage,
	RequestState,
	RequestStep,
} from './request-state.js';
import type {LedgerStep} from './step-ledger-record.js';

/** Tells whether a gate of an earlier version runs an attempt that has no stamp. */
function runsWithoutStamp({parameters}: RequestContext): boolean {
	return parameters.repeatable;
}

function keepState(state: RequestState): RequestStep {
	return {state, effects: []};
}

function send(state: RequestState, sameHost: boolean): RequestStep {
	const attempt = state.attempts + 1;
	return {
		state: {
			...state,
			phase: 'attempting',
			attempts: attempt,
			asks: 0,
			isOpen: true,
			isSent: false,
		},
		effects: [{kind: 'send', attempt, sameHost}],
	};
}

function finish(state: RequestState, ending: AttemptEnding): RequestStep {
	// An earlier attempt that may have run takes precedence over a later one that has not.
	const outcome = state.mayHaveRun ? 'unknown' : ending.outcome;
	return {
		state: {...state, phase: 'done', isOpen: false},
		effects: [{...ending, kind: 'finish', outcome}],
	};
}

function endAttempt(
	state: RequestState,
	ending: AttemptEnding,
	context: RequestContext,
): RequestStep {
	const {parameters, now, random, budget} = context;
	const countedAttempts = state.attempts - state.restamps - state.reroutes;
	// An attempt at the wrong host reached no upstream; such attempts have a separate limit.
	const isFull =
		isCapacityRefusal(ending.reason) &&
		context.hasAvailableHost === true &&
		state.reroutes < maxFullReroutes;
	const isWrongHost =
		ending.outcome === 'not-run' && (isMisrouted(ending.reason) || isFull);
	const after: RequestState = {
		...state,
		isOpen: false,
		mayHaveRun: state.mayHaveRun || ending.outcome === 'unknown',
	};
	if (ending.reason === 'stale-stamp' && state.restamps < maxRestamps) {
		return send({...after, restamps: state.restamps + 1}, true);
	}

	if (ending.reason === 'quarantined' || context.isQuarantined) {
		return finish(after, ending);
	}

	const delayMs = computeRetryDelay(countedAttempts, random);
	const decision = decideRetry({
		...parameters,
		...ending,
		attempts: isWrongHost ? state.reroutes : countedAttempts,
		maxAttempts: isWrongHost ? maxReroutes : parameters.maxAttempts,
		remainingMs: parameters.deadlineAt - now - delayMs,
		budget,
		hasAvailableHost: isFull,
	});
	switch (decision) {
		case 'stop': {
			return finish(after, ending);
		}

		case 'reroute': {
			return send({...after, reroutes: state.reroutes + 1}, false);
		}

		case 'retry': {
			return {
				state: {...after, phase: 'waiting-to-send'},
				effects: [{kind: 'spend-budget'}, {kind: 'wait', durationMs: delayMs}],
			};
		}
	}
}

function prependAbandon(
	before: RequestState,
	step: RequestStep,
	cancel = false,
): RequestStep {
	const effect = {kind: 'abandon', attempt: before.attempts, cancel} as const;
	return {state: step.state, effects: [effect, ...step.effects]};
}

function ask(state: RequestState): RequestStep {
	return {
		state: {...state, phase: 'asking', asks: state.asks + 1},
		effects: [{kind: 'ask', attempt: state.attempts}],
	};
}

/** Abandons an attempt whose outcome cannot be determined. */
function abandonUnknown(
	state: RequestState,
	reason: OutcomeReason,
	context: RequestContext,
): RequestStep {
	const step = endAttempt(state, {outcome: 'unknown', reason}, context);
	return prependAbandon(state, step);
}

/** Abandons an attempt that no gate runs, even if it still arrives. */
function abandonUnsent(
	state: RequestState,
	context: RequestContext,
): RequestStep {
	const ending = {outcome: 'not-run', reason: 'not-sent'} as const;
	return prependAbandon(state, endAttempt(state, ending, context));
}

function handleLoss(
	state: RequestState,
	reason: OutcomeReason,
	context: RequestContext,
): RequestStep {
	if (context.parameters.repeatable) {
		return abandonUnknown(state, reason, context);
	}

	const after = {...state, isOpen: false};
	return state.phase === 'attempting' ? ask(after) : keepState(after);
}

function handleAskAnswer(
	state: RequestState,
	answer: LedgerStep['answer'],
	context: RequestContext,
): RequestStep {
	switch (answer) {
		case 'fenced': {
			// A gate deletes the records of repeatable attempts that have ended, so
			// for them this is no proof.
			const outcome = context.parameters.repeatable ? 'unknown' : 'not-run';
			const ending: AttemptEnding = {outcome, reason: 'fenced'};
			return prependAbandon(state, endAttempt(state, ending, context));
		}

		case 'running':
		case 'ended': {
			return {
				state: {...state, phase: 'fetching'},
				effects: [{kind: 'fetch', attempt: state.attempts}],
			};
		}

		case 'run':
		case 'stale': {
			return abandonUnknown(state, 'forgotten', context);
		}
	}
}

function handleFailedAsk(
	state: RequestState,
	context: RequestContext,
): RequestStep {
	if (context.parameters.repeatable || state.asks >= maxAsks) {
		return abandonUnknown(state, 'gate-unreachable', context);
	}

	const ceilingMs = askRetryMs * 2 ** state.asks;
	const durationMs = (ceilingMs * (1 + context.random)) / 2;
	return {
		state: {...state, phase: 'waiting-to-ask'},
		effects: [{kind: 'wait', durationMs}],
	};
}

function handleSilence(
	state: RequestState,
	context: RequestContext,
): RequestStep {
	if (state.phase !== 'attempting') {
		return keepState(state);
	}

	return state.isSent ? ask(state) : abandonUnsent(state, context);
}

/** Messages about the state of an attempt that is in doubt. */
type InquiryMessage = RequestMessage & {
	readonly kind: 'silent' | 'ask-answered' | 'ask-failed' | 'fetch-lost';
};

function handleInquiry(
	state: RequestState,
	message: InquiryMessage,
	context: RequestContext,
): RequestStep {
	switch (message.kind) {
		case 'silent': {
			return handleSilence(state, context);
		}

		case 'ask-answered': {
			return state.phase === 'asking'
				? handleAskAnswer(state, message.answer, context)
				: keepState(state);
		}

		case 'ask-failed': {
			return state.phase === 'asking'
				? handleFailedAsk(state, context)
				: keepState(state);
		}

		case 'fetch-lost': {
			return state.phase === 'fetching'
				? handleFailedAsk({...state, asks: state.asks + 1}, context)
				: keepState(state);
		}
	}
}

function handleDelayElapsed(
	state: RequestState,
	context: RequestContext,
): RequestStep {
	switch (state.phase) {
		case 'waiting-to-ask': {
			return ask(state);
		}

		case 'waiting-to-send': {
			return context.isQuarantined
				? finish(state, {outcome: 'not-run', reason: 'quarantined'})
				: send(state, false);
		}

		case 'new':
		case 'attempting':
		case 'asking':
		case 'fetching':
		case 'done': {
			return keepState(state);
		}
	}
}

function handleEnd(
	state: RequestState,
	message: RequestMessage & {readonly kind: 'ended' | 'lost'},
	context: RequestContext,
): RequestStep {
	// The end of an abandoned attempt is still reported after the step that abandoned it.
	if (state.phase === 'waiting-to-send') {
		return keepState(state);
	}

	if (message.kind === 'lost') {
		return runsWithoutStamp(context) || message.hadStamp
			? handleLoss(state, message.reason, context)
			: endAttempt(state, {outcome: 'not-run', reason: 'not-sent'}, context);
	}

	const {reason, retryAfterSeconds} = message;
	// A gate deletes the records of repeatable attempts that have ended, and may
	// then fence one that has run.
	const isInconclusive = reason === 'fenced' && context.parameters.repeatable;
	const outcome = isInconclusive ? 'unknown' : message.outcome;
	return endAttempt(state, {outcome, reason, retryAfterSeconds}, context);
}

function finishEarly(state: RequestState, reason: OutcomeReason): RequestStep {
	const isInProgress =
		state.phase !== 'new' && state.phase !== 'waiting-to-send';
	const mayRun = isAwaitingResult(state);
	const step = finish(state, {outcome: mayRun ? 'unknown' : 'not-run', reason});
	// The gate may not have read the attempt yet, and therefore not know its deadline.
	return isInProgress ? prependAbandon(state, step, mayRun) : step;
}

/**
 * Advances a request at its caller's node by one message.
 *
 * A request ends exactly once: `answered`; `not-run` only with proof that no
 * attempt has run or will run; otherwise `unknown`. If the connection of a
 * non-repeatable attempt fails or becomes silent, its gate is asked for the state
 * of the attempt. Messages about earlier attempts, or after the end, are ignored.
 *
 * @param state - the state before; not modified
 * @param message - the event
 * @param context - see `RequestContext`
 * @returns the state after and the effects, in order
 * @example
 * stepRequest(initialRequestState, {kind: 'start'}, context).effects;
 */
export function stepRequest(
	state: RequestState,
	message: RequestMessage,
	context: RequestContext,
): RequestStep {
	const isLate = 'attempt' in message && message.attempt !== state.attempts;
	if (state.phase === 'done' || isLate) {
		return keepState(state);
	}

	switch (message.kind) {
		case 'start': {
			return send(state, false);
		}

		case 'no-host': {
			return finish(state, {outcome: 'not-run', reason: message.reason});
		}

		case 'sent': {
			const mayRun = runsWithoutStamp(context) || message.hasStamp;
			return keepState({...state, isSent: state.isSent || mayRun});
		}

		case 'answered': {
			return {
				state: {...state, phase: 'done', isOpen: false},
				effects: [{kind: 'finish', outcome: 'answered', reason: undefined}],
			};
		}

		case 'ended':
		case 'lost': {
			return handleEnd(state, message, context);
		}

		case 'silent':
		case 'ask-answered':
		case 'ask-failed':
		case 'fetch-lost': {
			return handleInquiry(state, message, context);
		}

		case 'delay-elapsed': {
			return handleDelayElapsed(state, context);
		}

		case 'deadline': {
			return finishEarly(state, 'deadline');
		}

		case 'cancelled': {
			return finishEarly(state, 'cancelled');
		}
	}
}
