/**
 * Types of one attempt at a request, on its way to an upstream and back.
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
	/** The whole body, or a stream when it is longer than is buffered. */
	readonly body: Uint8Array | Readable;
	/** Time left until the deadline, ms. */
	readonly remainingMs: number;
	/** How many calls of other upstreams the request comes through. */
	readonly depth: number;
	/** Newest stamp that is known of the gate. */
	readonly stamp: GateStamp | undefined;
	/**
	 * When it was made, ms on the clock of the gate that gave the stamp; early by
	 * no more than the way of a stamp.
	 */
	readonly createdAtGateMs?: number | undefined;
	/** How long it may have lain unread at the gate, as the gate's lag says, ms. */
	readonly unreadMs?: number | undefined;
	/** What the sender knows of the gate's upstream; a gate that has started again may not. */
	readonly notice?: UpstreamNotice | undefined;
	/** Service on whose host the request began, if that is known. */
	readonly origin?: string | undefined;
	/** Rank among the attempts that wait for a slot; 0 goes first. */
	readonly priority?: number | undefined;
	/** Objective of the request's route, ms; orders the attempts that wait. */
	readonly routeObjectiveMs?: number | undefined;
	/** Time left in which an answer has its full value, ms. */
	readonly objectiveMs?: number | undefined;
	/** Called before the first byte of the attempt may leave this node. */
	readonly onSend?: (() => void) | undefined;
	/** Called with each sign that the gate still has the attempt. */
	readonly onKeepalive?: (() => void) | undefined;
	/** Idempotency key of the caller with its team and service. */
	readonly key: string | undefined;
	/** Aborted when nobody wants the answer any more. */
	readonly signal: CancelSignal;
	/** Trace context of the hop that sends the attempt, W3C `traceparent`. */
	readonly traceparent: string | undefined;
};

/** Names an attempt whose fate is asked for. */
export const attemptQuerySchema = z.object({
	id: z.string().max(256),
	stamp: z.object({epoch: z.string().max(64), timeMs: z.number()}).optional(),
});

export type AttemptQuery = z.infer<typeof attemptQuerySchema>;

/** What an upstream has said of itself in its answers, as its gate keeps it. */
export type UpstreamNotice = {
	/** Identifier under which the upstream announced itself. */
	readonly id: string;
	/** Life of the upstream, as in its announcement; undefined when not known. */
	readonly incarnation?: number | undefined;
	readonly isLeaving: boolean;
	/** Undefined when it names no limit. */
	readonly rateLimit?: ReportedRateLimit | undefined;
};

/** A rate limit that an upstream has named. */
export type ReportedRateLimit = {
	/** Requests a second that it takes from all nodes together. */
	readonly perSecond: number;
	/** Expected wait of the next attempt for its turn, ms. */
	readonly waitMs: number;
};

/** Load of a gate, as piggybacked on answers. */
export type GateLoad = {
	readonly inFlight: number;
	readonly queued: number;
	readonly slots: number;
	/** Mean time that the upstream takes, ms. */
	readonly serviceMs?: number | undefined;
	/** Mean time that it takes for requests of the attempt's route, ms. */
	readonly routeMs?: number | undefined;
	/** Absent when the upstream has said nothing of note. */
	readonly notice?: UpstreamNotice | undefined;
};

/** Result of one attempt. */
export type AttemptResult =
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly headers: IncomingHttpHeaders;
			/** The whole body, or a stream that fails unless it ends whole. */
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

/** What a caller's node has of an attempt that it forwarded. */
export type ForwardResult =
	| AttemptResult
	/** The connection failed after the attempt may have been sent. */
	| {readonly kind: 'lost'; readonly reason: OutcomeReason};
