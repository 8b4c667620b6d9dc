/**
 * Types of the state machine of a request at its caller's node: state, messages
 * and effects.
 */
import type {OutcomeReason} from '../protocol/request.js';
import type {LedgerStep} from './step-ledger-record.js';

/** Parameters that are constant during a request. */
export type RequestParameters = {
	/** Whether the request may run more than once. */
	readonly repeatable: boolean;
	/** Whether a node closer to the client already retries this call. */
	readonly isNested: boolean;
	readonly maxAttempts: number;
	/** Time until which attempts may be sent and run, from the earliest possible arrival of the request, monotonic ms. */
	readonly deadlineAt: number;
	/**
	 * Time at which the request ends although an attempt may be running: the latest
	 * at which its client can still be waiting, monotonic ms; `deadlineAt` when
	 * absent.
	 */
	readonly endsAt?: number | undefined;
	/** Latency objective: until when an answer has its full value, monotonic ms. */
	readonly objectiveAt?: number | undefined;
};

/** State of a request at its caller's node. */
export type RequestState = {
	readonly phase:
		| 'new'
		/** An attempt is in progress; its connection is assumed to work. */
		| 'attempting'
		/** The gate is being asked for the state of the attempt. */
		| 'asking'
		/** The answer is being fetched over another connection. */
		| 'fetching'
		/** The next question about the attempt is delayed. */
		| 'waiting-to-ask'
		/** The next attempt is delayed. */
		| 'waiting-to-send'
		/** No further attempt is possible; only earlier ones are open. */
		| 'waiting-for-earlier'
		| 'done';
	/** Attempts made so far; the number of the current one. */
	readonly attempts: number;
	/** Attempts that were repeated only because the gate did not accept the stamp. */
	readonly restamps: number;
	/** Attempts that were rerouted to another host. */
	readonly reroutes: number;
	/** Questions about the current attempt. */
	readonly asks: number;
	/** Whether an earlier attempt may have run. */
	readonly mayHaveRun: boolean;
	/** Whether the answer may still arrive over the current attempt's own connection. */
	readonly isOpen: boolean;
	/** Whether the current attempt may run: it may have left this node, with a stamp if it needs one. */
	readonly isSent: boolean;
	/** Numbers of the earlier attempts that are still open, because their upstreams may answer after all. */
	readonly earlier: readonly number[];
	/** End of the last attempt, with which the request ends if no earlier one is answered; undefined before. */
	readonly ending: AttemptEnding | undefined;
};

/** End of an attempt without an answer. */
export type AttemptEnding = {
	readonly outcome: 'not-run' | 'unknown';
	readonly reason: OutcomeReason;
	readonly retryAfterSeconds?: number;
};

/** Messages to a request; `attempt` is the number of the attempt concerned. */
export type RequestMessage =
	| {readonly kind: 'start'}
	/** No host is available for the request. */
	| {readonly kind: 'no-host'; readonly reason: OutcomeReason}
	/** The attempt is about to be written to a connection. */
	| {
			readonly kind: 'sent';
			readonly attempt: number;
			/** Whether it has a stamp; without one a gate runs none; gates of earlier versions run repeatable ones. */
			readonly hasStamp: boolean;
	  }
	/** The answer has arrived, at least in part. */
	| {readonly kind: 'answered'; readonly attempt: number}
	/** The attempt has ended, as reported by the gate or by a failure to reach it. */
	| ({readonly kind: 'ended'; readonly attempt: number} & AttemptEnding)
	/** The connection failed after the attempt may have been sent. */
	| {
			readonly kind: 'lost';
			readonly attempt: number;
			readonly reason: OutcomeReason;
			/** Whether it had a stamp; without one a gate runs none; gates of earlier versions run repeatable ones. */
			readonly hadStamp: boolean;
	  }
	/** The gate reports that the upstream does not seem to work on the attempt. */
	| {readonly kind: 'unanswered'; readonly attempt: number}
	/** Nothing has been received for the attempt for some time. */
	| {readonly kind: 'silent'; readonly attempt: number}
	| {
			readonly kind: 'ask-answered';
			readonly attempt: number;
			readonly answer: LedgerStep['answer'];
	  }
	| {readonly kind: 'ask-failed'; readonly attempt: number}
	| {readonly kind: 'fetch-lost'; readonly attempt: number}
	/** The gate has no answer to be fetched, and says what became of the attempt. */
	| ({readonly kind: 'fetch-ended'; readonly attempt: number} & AttemptEnding)
	| {readonly kind: 'delay-elapsed'}
	| {readonly kind: 'deadline'}
	/** The client has disconnected. */
	| {readonly kind: 'cancelled'};

/** Effects that a step requests from its caller. */
export type RequestEffect =
	| {
			readonly kind: 'send';
			readonly attempt: number;
			/** Whether to use the host of the previous attempt. */
			readonly sameHost: boolean;
	  }
	| {readonly kind: 'ask'; readonly attempt: number}
	| {readonly kind: 'fetch'; readonly attempt: number}
	| {readonly kind: 'wait'; readonly durationMs: number}
	/** Close the connections of the attempt. */
	| {
			readonly kind: 'abandon';
			readonly attempt: number;
			/** Whether to notify the gate that the answer is no longer needed. */
			readonly cancel: boolean;
	  }
	| {readonly kind: 'spend-budget'}
	| {
			readonly kind: 'finish';
			readonly outcome: 'answered' | 'not-run' | 'unknown';
			readonly reason: OutcomeReason | undefined;
			readonly retryAfterSeconds?: number;
	  };

/** Input of a step besides state and message. */
export type RequestContext = {
	readonly parameters: RequestParameters;
	/** Monotonic ms. */
	readonly now: number;
	/** Random number in [0, 1). */
	readonly random: number;
	/** Tokens left in the retry budget of team and service. */
	readonly budget: number;
	/** Whether there is an untried host that is not known to be full. */
	readonly hasAvailableHost?: boolean;
	/** Whether there is a host to which the request was not sent yet; true when absent. */
	readonly hasUntriedHost?: boolean;
	/** Whether the request is known to crash its upstreams, so that it is not sent again. */
	readonly isQuarantined?: boolean;
};

/** A request's state after a message, with the resulting effects. */
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
	earlier: [],
	ending: undefined,
};
