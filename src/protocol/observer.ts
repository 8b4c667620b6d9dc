/**
 * Events that the caller and gate tasks report to an observer, for spans and
 * metrics.
 */
import type {OutcomeKind, OutcomeReason} from './request.js';

/** Fields of all events. */
type HopEvent = {
	readonly requestId: string;
	/** Returns the fingerprint of the request, which is computed only when it is needed; undefined when it is not known. */
	readonly readFingerprint?: () => string | undefined;
	readonly team: string;
	readonly service: string;
	readonly outcome: OutcomeKind;
	/** Absent when the outcome is `answered`. */
	readonly reason: OutcomeReason | undefined;
	/** Status of the response; 0 without a response. */
	readonly status: number;
	/** Start time, monotonic ms of `performance.now()`. */
	readonly startedAtMs: number;
	readonly durationMs: number;
	/** Trace context as received, W3C `traceparent`. */
	readonly parentTraceparent: string | undefined;
	/** Trace context of this hop, as passed on. */
	readonly traceparent: string | undefined;
};

/** Reported when a request of a caller has its final outcome. */
export type RequestEvent = HopEvent & {
	readonly route: string;
	readonly method: string;
	/** Number of attempts. */
	readonly attempts: number;
	/** Event loop lag of the node when it read the request, ms. */
	readonly lagMs: number;
	/** Whether its client had sent it before, as its deadline tells. */
	readonly isReturned: boolean;
	/** Tenant whose request it is; undefined when it needs no API key. */
	readonly tenant?: string | undefined;
};

/** Reported when a request or an attempt is refused before it is admitted. */
export type RefusalEvent = {
	/** Whether the caller's node has refused a request on arrival, or a gate an attempt. */
	readonly place: 'caller' | 'gate';
	/** Name of the route; undefined when refused before routing. */
	readonly route: string | undefined;
	readonly reason: OutcomeReason;
	/** Whether the client had sent the request before; undefined when not known. */
	readonly isReturned: boolean | undefined;
	/** Tenant whose request it is; undefined when it needs no API key or its key is not known. */
	readonly tenant?: string | undefined;
	/** Whether the gate had sent fewer requests to the upstream than it has slots; undefined when not known. */
	readonly hasFreeSlot: boolean | undefined;
};

/** Reported when an attempt has ended at the caller's node. */
export type AttemptEvent = HopEvent & {
	readonly attemptId: string;
	/** Number of the attempt, from 1. */
	readonly attempt: number;
	readonly host: string;
	/** Whether the sender had a stamp of the gate, without which the gate cannot tell the attempt's age. */
	readonly hadStamp: boolean;
	/** Time from its creation until its first byte could be sent, ms; undefined when nothing was sent over a connection. */
	readonly sendWaitMs: number | undefined;
};

/** Reported when an attempt has ended at the gate. */
export type GateEvent = HopEvent & {
	readonly attemptId: string;
	/** Time spent in the gate's queue, ms. */
	readonly queuedMs: number;
	/** Age at admission, from the creation time that the sender states, ms; undefined when not known. */
	readonly ageMs: number | undefined;
	/** Time that it may have waited unread at the gate, from the gate's event loop lag, ms. */
	readonly unreadMs: number;
	/** Whether it came from another node. */
	readonly isForwarded: boolean;
	/** Time from taking a slot until its first byte could be sent to the upstream, ms; undefined when nothing was sent. */
	readonly sendWaitMs: number | undefined;
};

/** Reported when an upstream on the host has crashed. */
export type CrashEvent = {
	readonly id: string;
	/** Full name of the service. */
	readonly service: string;
};

/** Receives events; the methods must not block or throw. */
export type RequestObserver = {
	/** Creates the trace context of a hop; when absent, the received one is passed on. */
	readonly createTraceparent?: (
		parent: string | undefined,
	) => string | undefined;
	readonly onRequest?: (event: RequestEvent) => void;
	readonly onRefusal?: (event: RefusalEvent) => void;
	readonly onAttempt?: (event: AttemptEvent) => void;
	readonly onGate?: (event: GateEvent) => void;
	readonly onCrash?: (event: CrashEvent) => void;
};
