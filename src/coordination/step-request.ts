import {
	askRetryMs,
	maxAsks,
	maxRestamps,
	retryBackoffBaseMs,
	retryBackoffCapMs,
} from '../protocol/constants.js';
import type {OutcomeReason} from '../protocol/request.js';
import {decideRetry} from './decide-retry.js';
import type {LedgerStep} from './step-ledger-record.js';

/** What stays the same during a request. */
export type RequestTerms = {
	/** Whether the request may run more than once. */
	readonly repeatable: boolean;
	/** Whether a node nearer to the client already retries this call. */
	readonly isNested: boolean;
	readonly maxAttempts: number;
	/** Monotonic ms. */
	readonly deadlineAt: number;
};

/** State of a request at its caller's node. */
export type RequestState = {
	readonly phase:
		| 'new'
		/** An attempt is on its way; its connection is believed to work. */
		| 'attempting'
		/** The gate is being asked what became of the attempt. */
		| 'asking'
		/** The answer is being fetched over another connection. */
		| 'fetching'
		/** The next question about the attempt waits for its time. */
		| 'waiting-to-ask'
		/** The next attempt waits for its time. */
		| 'waiting-to-send'
		| 'done';
	/** Attempts made so far; the number of the current one. */
	readonly attempts: number;
	/** Attempts repeated only because the gate did not accept the stamp. */
	readonly restamps: number;
	/** Questions about the current attempt. */
	readonly asks: number;
	/** Whether an earlier attempt may have run. */
	readonly mayHaveRun: boolean;
	/** Whether the current attempt's own connection may still bring its answer. */
	readonly isOpen: boolean;
};

/** What an attempt ended in, other than an answer. */
type Ending = {
	readonly outcome: 'not-run' | 'unknown';
	readonly reason: OutcomeReason;
	readonly retryAfterSeconds?: number;
};

/** What a request can be told; `attempt` is the number of the attempt meant. */
export type RequestMessage =
	| {readonly kind: 'start'}
	/** No host can take the request. */
	| {readonly kind: 'no-host'; readonly reason: OutcomeReason}
	/** The answer is there, whole or begun. */
	| {readonly kind: 'answered'; readonly attempt: number}
	/** The gate, or failing to reach it, says how the attempt ended. */
	| ({readonly kind: 'ended'; readonly attempt: number} & Ending)
	/** The connection failed after the attempt may have been sent. */
	| {
			readonly kind: 'lost';
			readonly attempt: number;
			readonly reason: OutcomeReason;
	  }
	/** Nothing has been heard of the attempt for a time. */
	| {readonly kind: 'silent'; readonly attempt: number}
	| {
			readonly kind: 'known';
			readonly attempt: number;
			readonly answer: LedgerStep['answer'];
	  }
	| {readonly kind: 'ask-failed'; readonly attempt: number}
	| {readonly kind: 'fetch-lost'; readonly attempt: number}
	| {readonly kind: 'wait-over'}
	| {readonly kind: 'deadline'}
	/** The client has gone. */
	| {readonly kind: 'cancelled'};

/** What is to be done for a request. */
export type RequestEffect =
	| {
			readonly kind: 'send';
			readonly attempt: number;
			/** Whether to use the host of the attempt before. */
			readonly sameHost: boolean;
	  }
	| {readonly kind: 'ask'; readonly attempt: number}
	| {readonly kind: 'fetch'; readonly attempt: number}
	| {readonly kind: 'wait'; readonly durationMs: number}
	/** Close what is open of the attempt. */
	| {
			readonly kind: 'abandon';
			readonly attempt: number;
			/** Whether to tell the gate that nobody wants the answer. */
			readonly cancel: boolean;
	  }
	| {readonly kind: 'spend-budget'}
	| {
			readonly kind: 'finish';
			readonly outcome: 'answered' | 'not-run' | 'unknown';
			readonly reason: OutcomeReason | undefined;
			readonly retryAfterSeconds?: number;
	  };

/** What a step depends on besides state and message. */
export type RequestContext = {
	readonly terms: RequestTerms;
	/** Monotonic ms. */
	readonly now: number;
	/** A number from 0 up to 1. */
	readonly random: number;
	/** Tokens left in the retry budget of team and service. */
	readonly budget: number;
};

/** A request's state after a message, and what is to be done. */
export type RequestStep = {
	readonly state: RequestState;
	readonly effects: readonly RequestEffect[];
};

/** State of a request before its first message. */
export const initialRequestState: RequestState = {
	phase: 'new',
	attempts: 0,
	restamps: 0,
	asks: 0,
	mayHaveRun: false,
	isOpen: false,
};

function stay(state: RequestState): RequestStep {
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
		},
		effects: [{kind: 'send', attempt, sameHost}],
	};
}

function finish(state: RequestState, ending: Ending): RequestStep {
	// An attempt that may have run outweighs a later one that has not.
	const outcome = state.mayHaveRun ? 'unknown' : ending.outcome;
	return {
		state: {...state, phase: 'done', isOpen: false},
		effects: [{...ending, kind: 'finish', outcome}],
	};
}

function computeRetryDelay(tries: number, random: number): number {
	const ceiling = retryBackoffBaseMs * 2 ** (tries - 1);
	return random * Math.min(retryBackoffCapMs, ceiling);
}

function endAttempt(
	state: RequestState,
	ending: Ending,
	context: RequestContext,
): RequestStep {
	const {terms, now, random, budget} = context;
	const tries = state.attempts - state.restamps;
	const after: RequestState = {
		...state,
		isOpen: false,
		mayHaveRun: state.mayHaveRun || ending.outcome === 'unknown',
	};
	if (ending.reason === 'stale-stamp' && state.restamps < maxRestamps) {
		return send({...after, restamps: state.restamps + 1}, true);
	}

	const delayMs = computeRetryDelay(tries, random);
	const decision = decideRetry({
		...terms,
		...ending,
		attempts: tries,
		remainingMs: terms.deadlineAt - now - delayMs,
		budget,
	});
	switch (decision) {
		case 'stop': {
			return finish(after, ending);
		}

		case 'reroute': {
			return send(after, false);
		}

		case 'retry': {
			return {
				state: {...after, phase: 'waiting-to-send'},
				effects: [{kind: 'spend-budget'}, {kind: 'wait', durationMs: delayMs}],
			};
		}
	}
}

function abandonFirst(
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

/** Gives up an attempt of which nothing certain can be learnt. */
function giveUp(
	state: RequestState,
	reason: OutcomeReason,
	context: RequestContext,
): RequestStep {
	const step = endAttempt(state, {outcome: 'unknown', reason}, context);
	return abandonFirst(state, step);
}

function handleLoss(
	state: RequestState,
	reason: OutcomeReason,
	context: RequestContext,
): RequestStep {
	if (context.terms.repeatable) {
		return giveUp(state, reason, context);
	}

	const after = {...state, isOpen: false};
	return state.phase === 'attempting' ? ask(after) : stay(after);
}

function handleKnown(
	state: RequestState,
	answer: LedgerStep['answer'],
	context: RequestContext,
): RequestStep {
	switch (answer) {
		case 'fenced': {
			// A gate forgets repeatable attempts that are over, so that this is no
			// proof for them.
			const outcome = context.terms.repeatable ? 'unknown' : 'not-run';
			const ending: Ending = {outcome, reason: 'fenced'};
			return abandonFirst(state, endAttempt(state, ending, context));
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
			return giveUp(state, 'forgotten', context);
		}
	}
}

function handleFailedAsk(
	state: RequestState,
	context: RequestContext,
): RequestStep {
	if (context.terms.repeatable || state.asks >= maxAsks) {
		return giveUp(state, 'gate-unreachable', context);
	}

	const durationMs = context.random * askRetryMs * 2 ** state.asks;
	return {
		state: {...state, phase: 'waiting-to-ask'},
		effects: [{kind: 'wait', durationMs}],
	};
}

function handleWaitOver(state: RequestState): RequestStep {
	switch (state.phase) {
		case 'waiting-to-ask': {
			return ask(state);
		}

		case 'waiting-to-send': {
			return send(state, false);
		}

		case 'new':
		case 'attempting':
		case 'asking':
		case 'fetching':
		case 'done': {
			return stay(state);
		}
	}
}

function endEarly(state: RequestState, reason: OutcomeReason): RequestStep {
	const isOut = state.phase !== 'new' && state.phase !== 'waiting-to-send';
	const step = finish(state, {outcome: isOut ? 'unknown' : 'not-run', reason});
	return isOut ? abandonFirst(state, step, reason === 'cancelled') : step;
}

/**
 * Advances a request at its caller's node by one message.
 *
 * A request ends exactly once: `answered`, `not-run` only with proof that no
 * attempt has run or will, else `unknown`. An attempt that may not be repeated
 * and whose connection failed or fell silent is asked about at its gate.
 * Messages about earlier attempts, or after the end, change nothing.
 *
 * @param state - the state before; left as it is
 * @param message - what happened
 * @param context - see `RequestContext`
 * @returns the state after and what is to be done, in order
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
		return stay(state);
	}

	switch (message.kind) {
		case 'start': {
			return send(state, false);
		}

		case 'no-host': {
			return finish(state, {outcome: 'not-run', reason: message.reason});
		}

		case 'answered': {
			return {
				state: {...state, phase: 'done', isOpen: false},
				effects: [{kind: 'finish', outcome: 'answered', reason: undefined}],
			};
		}

		case 'ended': {
			const {outcome, reason, retryAfterSeconds} = message;
			const ending = {outcome, reason, retryAfterSeconds};
			return endAttempt(state, ending, context);
		}

		case 'lost': {
			return handleLoss(state, message.reason, context);
		}

		case 'silent': {
			return state.phase === 'attempting' ? ask(state) : stay(state);
		}

		case 'known': {
			return state.phase === 'asking'
				? handleKnown(state, message.answer, context)
				: stay(state);
		}

		case 'ask-failed': {
			return state.phase === 'asking'
				? handleFailedAsk(state, context)
				: stay(state);
		}

		case 'fetch-lost': {
			return state.phase === 'fetching'
				? handleFailedAsk({...state, asks: state.asks + 1}, context)
				: stay(state);
		}

		case 'wait-over': {
			return handleWaitOver(state);
		}

		case 'deadline': {
			return endEarly(state, 'deadline');
		}

		case 'cancelled': {
			return endEarly(state, 'cancelled');
		}
	}
}
