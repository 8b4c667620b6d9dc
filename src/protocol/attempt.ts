/**
 * Types of an attempt at a request and of its result.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import * as z from 'zod';
import type {CancelSignal} from './cancel-signal.js';
import type {OutcomeReason} from './request.js';
import type {GateStamp} from './stamp.js';

/** One attempt at a request. */
export type Attempt = {
	/** Identifier of the attempt: request identifier and attempt number. */
	readonly id: string;
	readonly requestId: string;
	readonly team: string;
	readonly service: string;
	/** Name of the request's route. */
	readonly route?: string | undefined;
	readonly repeatable: boolean;
	readonly sheddingMeansNotRun: boolean;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	/** The full body, or a stream when it is too long to be buffered. */
	readonly body: Uint8Array | Readable;
	/** Time left until the deadline, ms. */
	readonly remainingMs: number;
	/** When the time left ends, monotonic ms of the process that created the attempt; undefined once received by another. */
	readonly expiresAt?: number | undefined;
	/** Number of upstreams that the request has passed through. */
	readonly depth: number;
	/** Whether a request that runs on the host of its caller's node has made it; by its depth when absent. */
	readonly isNested?: boolean | undefined;
	/** Whether its gate treats a nested call like new work; not sent between nodes, false when absent. */
	readonly isDemoted?: boolean | undefined;
	/** Newest known stamp of the gate. */
	readonly stamp: GateStamp | undefined;
	/**
	 * Creation time, ms on the clock of the gate that issued the stamp; too early
	 * by at most the transit time of a stamp.
	 */
	readonly createdAtGateMs?: number | undefined;
	/** Time that it may have waited unread at the gate, from the gate's event loop lag, ms. */
	readonly unreadMs?: number | undefined;
	/** Upstream notice as the sender knows it; a restarted gate may not know it. */
	readonly notice?: UpstreamNotice | undefined;
	/** Fingerprint of a request with a streamed body; that of any other is computed when it is needed (`readFingerprint`). */
	readonly fingerprint?: string | undefined;
	/** Service on whose host the request originated, if known. */
	readonly origin?: string | undefined;
	/** Tenant whose request it is; undefined when it needs no API key. */
	readonly tenant?: string | undefined;
	/** Rank among the attempts that wait for a slot; 0 is the highest. */
	readonly priority?: number | undefined;
	/** Objective of the request's route, ms; orders the queued attempts. */
	readonly routeObjectiveMs?: number | undefined;
	/** Time left until the latency objective, ms. */
	readonly objectiveMs?: number | undefined;
	/** Called before the first byte of the attempt is sent. */
	readonly onSend?: (() => void) | undefined;
	/** Called with each keepalive of the gate for the attempt. */
	readonly onKeepalive?: (() => void) | undefined;
	/** Called when the upstream does not seem to work on the attempt, by its load reports. */
	readonly onUnanswered?: (() => void) | undefined;
	/** Idempotency key of the caller with its team and service. */
	readonly key: string | undefined;
	/** Aborted when the response is no longer needed. */
	readonly signal: CancelSignal;
	/** Trace context of the hop that sends the attempt, W3C `traceparent`. */
	readonly traceparent: string | undefined;
};

/** Query for the outcome of an attempt. */
export const attemptQuerySchema = z.object({
	id: z.string().max(256),
	stamp: z.object({epoch: z.string().max(64), timeMs: z.number()}).optional(),
});

export type AttemptQuery = z.infer<typeof attemptQuerySchema>;

/** Shutdown and rate limit that an upstream has reported in its responses, as its gate stores them. */
export type UpstreamNotice = {
	/** Identifier under which the upstream announced itself. */
	readonly id: string;
	/** Incarnation of the upstream, as announced; undefined when not known. */
	readonly incarnation?: number | undefined;
	readonly isLeaving: boolean;
	/** Undefined when the upstream has reported no limit. */
	readonly rateLimit?: ReportedRateLimit | undefined;
};

/** A rate limit that an upstream has reported. */
export type ReportedRateLimit = {
	/** Requests per second that it accepts from all nodes together. */
	readonly perSecond: number;
	/** Expected wait of the next attempt under the limit, ms. */
	readonly waitMs: number;
};

/** Load of a gate, as piggybacked on responses. */
export type GateLoad = {
	readonly inFlight: number;
	readonly queued: number;
	readonly slots: number;
	/** Mean service time of the upstream, ms. */
	readonly serviceMs?: number | undefined;
	/** Mean service time for requests of the attempt's route, ms. */
	readonly routeMs?: number | undefined;
	/** Absent when the upstream is not leaving and has no limit. */
	readonly notice?: UpstreamNotice | undefined;
};

/** Result of one attempt. */
export type AttemptResult =
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly headers: IncomingHttpHeaders;
			/** The full body, or a stream that fails when the body is truncated. */
			readonly body: Uint8Array | Readable;
			readonly load: GateLoad | undefined;
			readonly stamp: GateStamp | undefined;
	  }
	| {
			readonly kind: 'not-run' | 'unknown';
			readonly reason: OutcomeReason;
			readonly retryAfterSeconds: number;
			readonly load: GateLoad | undefined;
			readonly stamp: GateStamp | undefined;
	  };

/** Result of an attempt that a caller's node has forwarded. */
export type ForwardResult =
	| AttemptResult
	/** The connection failed after the attempt may have been sent. */
	| {readonly kind: 'lost'; readonly reason: OutcomeReason};
