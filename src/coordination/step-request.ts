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
import {isAttemptInProgress} from './is-attempt-in-progress.js';
import {isCapacityRefusal} from './is-capacity-refusal.js';
import {isMisrouted} from './is-misrouted.js';
import type {
	AttemptEnding,
	RequestContext,
	RequestEffect,
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

function abandonEarlier(state: RequestState): readonly RequestEffect[] {
	return state.earlier.map((attempt) => ({
		kind: 'abandon',
		attempt,
		cancel: true,
	}));
}

function finish(state: RequestState, ending: AttemptEnding): RequestStep {
	// An earlier attempt that may have run takes precedence over a later one that has not.
	const outcome = state.mayHaveRun ? 'unknown' : ending.outcome;
	return {
		state: {...state, phase: 'done', isOpen: false, earlier: []},
		effects: [...abandonEarlier(state), {...ending, kind: 'finish', outcome}],
	};
}

/** Finishes a request that no further attempt follows, once no earlier attempt is open. */
function finishAfterEarlier(
	state: RequestState,
	ending: AttemptEnding,
): RequestStep {
	return state.earlier.length === 0
		? finish(state, ending)
		: keepState({
				...state,
				phase: 'waiting-for-earlier',
				isOpen: false,
				ending,
			});
}

function finishAnswered(state: RequestState): RequestStep {
	return {
		state: {...state, phase: 'done', isOpen: false, earlier: []},
		effects: [
			...abandonEarlier(state),
			{kind: 'finish', outcome: 'answered', reason: undefined},
		],
	};
}

/** Counts the attempts that may have reached an upstream of the service. */
function countAttempts({attempts, restamps, reroutes}: RequestState): number {
	return attempts - restamps - reroutes;
}

/** Spends a token of the retry budget and waits before the next attempt. */
function waitToRetry(state: RequestState, delayMs: number): RequestStep {
	return {
		state: {...state, phase: 'waiting-to-send'},
		effects: [{kind: 'spend-budget'}, {kind: 'wait', durationMs: delayMs}],
	};
}

function endAttempt(
	state: RequestState,
	ending: AttemptEnding,
	context: RequestContext,
): RequestStep {
	const {parameters, now, random, budget} = context;
	const countedAttempts = countAttempts(state);
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
		return finishAfterEarlier(after, ending);
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
			return finishAfterEarlier(after, ending);
		}

		case 'reroute': {
			return send({...after, reroutes: state.reroutes + 1}, false);
		}

		case 'retry': {
			return waitToRetry(after, delayMs);
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

/**
 * Tells whether a refusal leaves open whether the attempt has run: a gate deletes
 * the records of repeatable attempts that have ended, and may then fence one.
 */
function isInconclusive(
	reason: OutcomeReason,
	{parameters}: RequestContext,
): boolean {
	return reason === 'fenced' && parameters.repeatable;
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

/** Waits again for the answer on the attempt's own connection. */
function continueAttempt(state: RequestState): RequestState {
	return {...state, phase: 'attempting'};
}

/**
 * Makes another attempt beside one that is in doubt, if retries allow it and
 * there is another host. The first one stays open: the doubt may be wrong, and
 * when no other attempt can be made, its answer is the only one that may come.
 */
function repeatBeside(
	state: RequestState,
	reason: OutcomeReason,
	context: RequestContext,
): RequestStep {
	const {parameters, now, random, budget, isQuarantined} = context;
	const {hasUntriedHost = true} = context;
	const attempts = countAttempts(state);
	const delayMs = computeRetryDelay(attempts, random);
	const decision = decideRetry({
		...parameters,
		outcome: 'unknown',
		reason,
		attempts,
		remainingMs: parameters.deadlineAt - now - delayMs,
		budget,
	});
	const canRepeat = parameters.repeatable && !isQuarantined && hasUntriedHost;
	if (!canRepeat || decision !== 'retry') {
		return keepState(state);
	}

	return waitToRetry(
		{
			...state,
			isOpen: false,
			mayHaveRun: true,
			earlier: [...state.earlier, state.attempts],
		},
		delayMs,
	);
}

function handleAskAnswer(
	state: RequestState,
	answer: LedgerStep['answer'],
	context: RequestContext,
): RequestStep {
	const isRepeatable = context.parameters.repeatable;
	switch (answer) {
		case 'fenced': {
			if (isRepeatable && state.isOpen) {
				// The attempt may have ended just now, and its answer be on its way.
				return repeatBeside(continueAttempt(state), 'fenced', context);
			}

			// A gate deletes the records of repeatable attempts that have ended, so
			// for them this is no proof.
			const outcome = isRepeatable ? 'unknown' : 'not-run';
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
			return isRepeatable && state.isOpen
				? repeatBeside(continueAttempt(state), 'forgotten', context)
				: abandonUnknown(state, 'forgotten', context);
		}
	}
}

function handleFailedAsk(
	state: RequestState,
	context: RequestContext,
): RequestStep {
	if (context.parameters.repeatable && state.isOpen) {
		return repeatBeside(continueAttempt(state), 'gate-unreachable', context);
	}

	if (context.parameters.repeatable || state.asks >= maxAsks) {
		// The answer may still come on the connection of the attempt.
		return state.isOpen
			? keepState(continueAttempt(state))
			: abandonUnknown(state, 'gate-unreachable', context);
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
	readonly kind:
		| 'unanswered'
		| 'silent'
		| 'ask-answered'
		| 'ask-failed'
		| 'fetch-lost'
		| 'fetch-ended';
};

/**
 * Handles a fetch that the gate has answered without the attempt's answer. The
 * gate keeps no answer that it streams, so while the attempt's own connection is
 * open, the answer may still come on that one.
 */
function handleEndedFetch(
	state: RequestState,
	{outcome, reason, retryAfterSeconds}: AttemptEnding,
	context: RequestContext,
): RequestStep {
	const isProof = outcome === 'not-run' && !isInconclusive(reason, context);
	return state.isOpen && !isProof
		? keepState(continueAttempt(state))
		: endAttempt(
				state,
				{outcome: isProof ? 'not-run' : 'unknown', reason, retryAfterSeconds},
				context,
			);
}

function handleInquiry(
	state: RequestState,
	message: InquiryMessage,
	context: RequestContext,
): RequestStep {
	switch (message.kind) {
		case 'unanswered': {
			return isAttemptInProgress(state) && state.isOpen
				? repeatBeside(state, 'unanswered', context)
				: keepState(state);
		}

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

		case 'fetch-ended': {
			return state.phase === 'fetching'
				? handleEndedFetch(state, message, context)
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
			const ending = {outcome: 'not-run', reason: 'quarantined'} as const;
			return context.isQuarantined
				? finishAfterEarlier(state, ending)
				: send(state, false);
		}

		case 'new':
		case 'waiting-for-earlier':
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
	if (
		state.phase === 'waiting-to-send' ||
		state.phase === 'waiting-for-earlier'
	) {
		return keepState(state);
	}

	if (message.kind === 'lost') {
		return runsWithoutStamp(context) || message.hadStamp
			? handleLoss(state, message.reason, context)
			: endAttempt(state, {outcome: 'not-run', reason: 'not-sent'}, context);
	}

	const {reason, retryAfterSeconds} = message;
	const outcome = isInconclusive(reason, context) ? 'unknown' : message.outcome;
	return endAttempt(state, {outcome, reason, retryAfterSeconds}, context);
}

/** Handles a message about an earlier attempt that is still open. */
function handleEarlier(
	state: RequestState,
	message: Extract<RequestMessage, {readonly attempt: number}>,
): RequestStep {
	const earlier = state.earlier.filter((number) => number !== message.attempt);
	const after = {...state, earlier};
	switch (message.kind) {
		case 'answered': {
			const step = finishAnswered(after);
			return isAttemptInProgress(state)
				? prependAbandon(state, step, true)
				: step;
		}

		case 'ended':
		case 'lost': {
			return state.phase === 'waiting-for-earlier'
				? finishAfterEarlier(after, state.ending!)
				: keepState(after);
		}

		case 'sent':
		case 'unanswered':
		case 'silent':
		case 'ask-answered':
		case 'ask-failed':
		case 'fetch-lost':
		case 'fetch-ended': {
			return keepState(state);
		}
	}
}

function finishEarly(state: RequestState, reason: OutcomeReason): RequestStep {
	const mayRun = isAttemptInProgress(state) && state.isSent;
	const step = finish(state, {outcome: mayRun ? 'unknown' : 'not-run', reason});
	// The gate may not have read the attempt yet, and therefore not know its deadline.
	return isAttemptInProgress(state)
		? prependAbandon(state, step, mayRun)
		: step;
}

/** Handles a message that concerns the current attempt, or the request as a whole. */
function handleCurrent(
	state: RequestState,
	message: RequestMessage,
	context: RequestContext,
): RequestStep {
	switch (message.kind) {
		case 'start': {
			return send(state, false);
		}

		case 'no-host': {
			const {reason} = message;
			return finishAfterEarlier(state, {outcome: 'not-run', reason});
		}

		case 'sent': {
			const mayRun = runsWithoutStamp(context) || message.hasStamp;
			return keepState({...state, isSent: state.isSent || mayRun});
		}

		case 'answered': {
			return finishAnswered(state);
		}

		case 'ended':
		case 'lost': {
			return handleEnd(state, message, context);
		}

		case 'unanswered':
		case 'silent':
		case 'ask-answered':
		case 'ask-failed':
		case 'fetch-lost':
		case 'fetch-ended': {
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

/**
 * Advances a request at its caller's node by one message.
 *
 * A request ends exactly once: `answered`; `not-run` only with proof that no
 * attempt has run or will run; otherwise `unknown`. If the connection of a
 * non-repeatable attempt fails or becomes silent, its gate is asked for the state
 * of the attempt. Messages about abandoned attempts, or after the end, are ignored.
 *
 * Load pattern: an upstream that is full and drops requests without a response.
 * The gate only suspects that, so another attempt is made beside the first one
 * if retries allow it, and the first answer counts; the request never ends
 * sooner for a suspicion.
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
	if ('attempt' in message && state.earlier.includes(message.attempt)) {
		return handleEarlier(state, message);
	}

	const isLate = 'attempt' in message && message.attempt !== state.attempts;
	if (state.phase === 'done' || isLate) {
		return keepState(state);
	}

	return handleCurrent(state, message, context);
}
