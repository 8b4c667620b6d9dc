/**
 * Types of one attempt at a request, on its way to an upstream and back.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import type {OutcomeReason} from './request.js';

/** One attempt at a request. */
export type Attempt = {
	/** Identifier of the attempt: request identifier and attempt number. */
	readonly id: string;
	readonly requestId: string;
	readonly team: string;
	readonly service: string;
	readonly repeatable: boolean;
	readonly sheddingMeansNotRun: boolean;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Time left until the deadline, ms. */
	readonly remainingMs: number;
	/** Aborted when the caller has given up. */
	readonly signal: AbortSignal;
	/** Trace context of the hop that sends the attempt, W3C `traceparent`. */
	readonly traceparent?: string;
};

/** Load of a gate, as piggybacked on answers. */
export type GateLoad = {
	readonly inFlight: number;
	readonly queued: number;
	readonly slots: number;
};

/** Result of one attempt. */
export type AttemptResult =
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly headers: IncomingHttpHeaders;
			readonly body: Readable;
			readonly load: GateLoad | undefined;
	  }
	| {
			readonly kind: 'not-run' | 'unknown';
			readonly reason: OutcomeReason;
			readonly retryAfterSeconds: number;
			readonly load: GateLoad | undefined;
	  };
