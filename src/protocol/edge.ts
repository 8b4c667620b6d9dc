/**
 * Interface between a node and its callers and upstreams: the names of headers
 * and their meaning. There is a default implementation; a platform may provide
 * another.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Attempt, GateLoad} from './attempt.js';

/** Parameters of a request from the headers of its caller. */
export type CallerParameters = {
	/** Identifier that the caller chose. */
	readonly requestId: string | undefined;
	/** Time that the caller waits for the response, ms. */
	readonly deadlineMs: number | undefined;
	/** Number of upstreams that the request has passed through. */
	readonly depth: number;
	/** Key with which the caller may repeat the request safely. */
	readonly idempotencyKey: string | undefined;
};

/** API key of a request as its caller sent it. */
export type KeyField =
	| {readonly kind: 'none'}
	| {readonly kind: 'key'; readonly key: string}
	/** The header is repeated or has another form. */
	| {readonly kind: 'unreadable'};

/** Class of a response from an upstream. */
export type ResponseClass =
	/** The upstream's response to the attempt. */
	| 'answered'
	/** The upstream was overloaded and has not run the attempt. */
	| 'shed'
	/** Another upstream uses the address and has not run the attempt. */
	| 'wrong-instance'
	/** The response belongs to another request. */
	| 'misplaced';

/** Status and headers of a response. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** Parsed value of a rate limit header. */
export type RateLimitField =
	| {readonly kind: 'none'}
	| {
			readonly kind: 'named';
			/** Requests per second that the upstream accepts from all nodes together. */
			readonly perSecond: number;
	  }
	/** The value is not a valid rate. */
	| {readonly kind: 'unreadable'; readonly text: string};

/** Rate limit and shutdown that an upstream reports in response headers. */
export type UpstreamReport = {
	readonly rateLimit: RateLimitField;
	/** Whether it is shutting down and accepts no further requests. */
	readonly isLeaving: boolean;
	/** Names of the headers that carry the report, for the log. */
	readonly headerNames: readonly string[];
};

/** Report of an upstream that sends no report headers. */
export const emptyReport: UpstreamReport = {
	rateLimit: {kind: 'none'},
	isLeaving: false,
	headerNames: [],
};

/** Values that a gate adds to an attempt for its upstream. */
export type UpstreamContext = {
	/** Time left until the deadline, ms. */
	readonly remainingMs: number;
	/** Trace context of the gate's hop, W3C `traceparent`. */
	readonly traceparent: string | undefined;
	/** Identifier under which the upstream announced itself. */
	readonly instance: string;
};

/** Reads and writes the headers of callers and upstreams. */
export type Edge = {
	/** Whether ambiguous paths are refused. */
	readonly refusesAmbiguousPaths: boolean;
	/** Whether a response identifies its request, so that `classifyResponse` detects responses to other requests. */
	readonly identifiesResponses: boolean;
	/** Name of the header with the caller's API key, in lower case. */
	readonly keyHeader: string;
	/** Name of the header with the tenant of a request to an upstream, in lower case; only this system sets it. */
	readonly tenantHeader: string;
	readCallerParameters(headers: IncomingHttpHeaders): CallerParameters;
	/** Reads the API key from raw header names and values; Node.js drops repetitions from `headers`. */
	readKey(rawHeaders: readonly string[]): KeyField;
	/** Creates the headers that are set on a request to an upstream. */
	createUpstreamHeaders(
		attempt: Attempt,
		context: UpstreamContext,
	): Readonly<Record<string, string>>;
	classifyResponse(answer: ResponseHead, attempt: Attempt): ResponseClass;
	/** Reads the load that an upstream reports with its response. */
	readLoad(headers: IncomingHttpHeaders): GateLoad | undefined;
	/** Reads the rate limit and shutdown that an upstream reports with its response. */
	readReport(headers: IncomingHttpHeaders): UpstreamReport;
	/** Formats a delay as the value of the `retry-after` header. */
	formatRetryAfter(seconds: number): string;
};
