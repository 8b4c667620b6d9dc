/**
 * Types of a request at its caller's node: its state, what it can be told, and
 * what is to be done for it.
 */
import type {OutcomeReason} from '../protocol/request.js';
import type {LedgerStep} from './step-ledger-record.js';

/** What stays the same during a request. */
export type RequestParameters = {
	/** Whether the request may run more than once. */
	readonly repeatable: boolean;
	/** Whether a node nearer to the client already retries this call. */
	readonly isNested: boolean;
	readonly maxAttempts: number;
	/** Monotonic ms. */
	readonly deadlineAt: number;
	/** Until when an answer has its full value, monotonic ms. */
	readonly objectiveAt?: number | undefined;
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
	/** Attempts at hosts that turned out to be the wrong ones. */
	readonly reroutes: number;
	/** Questions about the current attempt. */
	readonly asks: number;
	/** Whether an earlier attempt may have run. */
	readonly mayHaveRun: boolean;
	/** Whether the current attempt's own connection may still bring its answer. */
	readonly isOpen: boolean;
	/** Whether the current attempt may run: it may have left this node, with a stamp if it needs one. */
	readonly isSent: boolean;
};

/** What an attempt ended in, other than an answer. */
export type AttemptEnding = {
	readonly outcome: 'not-run' | 'unknown';
	readonly reason: OutcomeReason;
	readonly retryAfterSeconds?: number;
};

/** What a request can be told; `attempt` is the number of the attempt meant. */
export type RequestMessage =
	| {readonly kind: 'start'}
	/** No host can take the request. */
	| {readonly kind: 'no-host'; readonly reason: OutcomeReason}
	/** A connection is about to take the attempt. */
	| {
			readonly kind: 'sent';
			readonly attempt: number;
			/** Whether it has a stamp; without one a gate runs only what is repeatable. */
			readonly hasStamp: boolean;
	  }
	/** The answer is there, whole or begun. */
	| {readonly kind: 'answered'; readonly attempt: number}
	/** The gate, or failing to reach it, says how the attempt ended. */
	| ({readonly kind: 'ended'; readonly attempt: number} & AttemptEnding)
	/** The connection failed after the attempt may have been sent. */
	| {
			readonly kind: 'lost';
			readonly attempt: number;
			readonly reason: OutcomeReason;
			/** Whether it had a stamp; without one a gate runs only what is repeatable. */
			readonly hadStamp: boolean;
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
	readonly parameters: RequestParameters;
	/** Monotonic ms. */
	readonly now: number;
	/** A number from 0 up to 1. */
	readonly random: number;
	/** Tokens left in the retry budget of team and service. */
	readonly budget: number;
	/** Whether a host that was not tried is not known to be full. */
	readonly hasAvailableHost?: boolean;
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
	reroutes: 0,
	asks: 0,
	mayHaveRun: false,
	isOpen: false,
	isSent: false,
};
