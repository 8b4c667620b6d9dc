/**
 * Events that the caller and gate tasks report to an observer, for spans and
 * metrics.
 */
import type {OutcomeKind, OutcomeReason} from './request.js';

/** What all events have in common. */
type HopEvent = {
	readonly requestId: string;
	readonly team: string;
	readonly service: string;
	readonly outcome: OutcomeKind;
	/** Absent when the outcome is `answered`. */
	readonly reason: OutcomeReason | undefined;
	/** Status of the answer; 0 when there was none. */
	readonly status: number;
	/** Monotonic start time in ms, of `performance.now()`. */
	readonly startedAtMs: number;
	readonly durationMs: number;
	/** Trace context that came in, W3C `traceparent`. */
	readonly parentTraceparent: string | undefined;
	/** Trace context of this hop, which was sent on. */
	readonly traceparent: string | undefined;
};

/** A request of a caller has got its final outcome. */
export type RequestEvent = HopEvent & {
	readonly route: string;
	readonly method: string;
	/** Attempts that were made. */
	readonly attempts: number;
	/** How late the node was with the request when it read it, ms. */
	readonly lagMs: number;
};

/** An attempt at a request has ended at the caller's node. */
export type AttemptEvent = HopEvent & {
	readonly attemptId: string;
	/** Number of the attempt, from 1. */
	readonly attempt: number;
	readonly host: string;
};

/** An attempt has ended at the gate. */
export type GateEvent = HopEvent & {
	readonly attemptId: string;
	/** Time spent in the gate's queue. */
	readonly queuedMs: number;
	/** Its age when it was admitted, by the account of its sender, ms; undefined when that is not known. */
	readonly ageMs: number | undefined;
	/** How long it may have lain unread at the gate, as the gate's lag says, ms. */
	readonly unreadMs: number;
};

/** Receives events; must return at once and must not throw. */
export type RequestObserver = {
	/** Makes a hop's trace context; without it the incoming one is sent on. */
	readonly createTraceparent?: (
		parent: string | undefined,
	) => string | undefined;
	readonly onRequest?: (event: RequestEvent) => void;
	readonly onAttempt?: (event: AttemptEvent) => void;
	readonly onGate?: (event: GateEvent) => void;
};
