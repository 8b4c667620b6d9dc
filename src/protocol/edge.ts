/**
 * What callers and upstreams speak with a node: names of headers and their
 * meaning. The product has its own; a platform may bring another.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Attempt, GateLoad} from './attempt.js';

/** What a caller says of its request. */
export type CallerParameters = {
	/** Identifier that the caller chose. */
	readonly requestId: string | undefined;
	/** How long the caller waits, ms. */
	readonly deadlineMs: number | undefined;
	/** How many calls of upstreams the request comes through. */
	readonly depth: number;
	/** Key under which the caller may send the same request again. */
	readonly idempotencyKey: string | undefined;
};

/** What an upstream's answer says of the attempt. */
export type ResponseClass =
	/** It is the upstream's answer to the attempt. */
	| 'answered'
	/** The upstream was too busy, and has not run the attempt. */
	| 'shed'
	/** Another upstream has the address, and has not run the attempt. */
	| 'wrong-instance'
	/** It answers another request. */
	| 'misplaced';

/** An answer as far as the edge reads it. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** A rate limit as an upstream states it. */
export type RateLimitField =
	| {readonly kind: 'none'}
	| {
			readonly kind: 'named';
			/** Requests a second that it takes from all nodes together. */
			readonly perSecond: number;
	  }
	/** It names something that is not a rate. */
	| {readonly kind: 'unreadable'; readonly text: string};

/** What an upstream says of itself in the head of an answer. */
export type UpstreamReport = {
	readonly rateLimit: RateLimitField;
	/** Whether it is about to end, and takes no further requests. */
	readonly isLeaving: boolean;
	/** Names of the headers that say so, for the log. */
	readonly headerNames: readonly string[];
};

/** The report of an upstream that says nothing of itself. */
export const emptyReport: UpstreamReport = {
	rateLimit: {kind: 'none'},
	isLeaving: false,
	headerNames: [],
};

/** What a gate adds to an attempt for its upstream. */
export type UpstreamContext = {
	/** Time left until the deadline, ms. */
	readonly remainingMs: number;
	/** Trace context of the gate's hop. */
	readonly traceparent: string | undefined;
	/** Identifier under which the upstream announced itself. */
	readonly instance: string;
};

/** The names and meanings of headers towards callers and upstreams. */
export type Edge = {
	/** Whether a path that can be read in more than one way is refused. */
	readonly refusesAmbiguousPaths: boolean;
	/** Whether an upstream's answer names its request, so that `judgeAnswer` tells one to another request. */
	readonly identifiesResponses: boolean;
	readCallerParameters(headers: IncomingHttpHeaders): CallerParameters;
	/** Gives the headers that are set on a request to an upstream. */
	createUpstreamHeaders(
		attempt: Attempt,
		context: UpstreamContext,
	): Readonly<Record<string, string>>;
	classifyResponse(answer: ResponseHead, attempt: Attempt): ResponseClass;
	/** Reads the load that an upstream reports with its answer. */
	readLoad(headers: IncomingHttpHeaders): GateLoad | undefined;
	/** Reads what an upstream says of itself with its answer. */
	readReport(headers: IncomingHttpHeaders): UpstreamReport;
	/** Writes a delay in the form that callers understand. */
	formatRetryAfter(seconds: number): string;
};
