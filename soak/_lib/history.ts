/**
 * What callers and upstreams have seen in a run of the soak.
 */

/** A request as its client saw it. */
export type ClientRecord = {
	readonly id: string;
	readonly host: string;
	readonly repeatable: boolean;
	/** Length of the body that it was to send. */
	readonly bytes: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** 0 when the connection ended without an answer. */
	readonly status: number;
	readonly body: string;
	/** Identifier that the answer names. */
	readonly answeredId: string | undefined;
	/** Whether the answer says that its upstream leaves. */
	readonly tellsLeaving: boolean;
	/** Whether an upstream has signed the answer; false when a node made it. */
	readonly isSigned: boolean;
	/** When the client's deadline or the route's timeout has passed, monotonic ms. */
	readonly expiresAt: number;
};

/** A request as it reached an upstream. */
export type UpstreamRecord = {
	readonly id: string;
	/** Identifier of the upstream, one for each of its lives. */
	readonly upstream: string;
	readonly at: number;
	/** Whether the upstream began to work on it. */
	readonly hasRun: boolean;
	/** When the upstream has completed it, or stops at the deadline that it was given, monotonic ms. */
	readonly completesAt: number;
	/** Length of the body. */
	readonly bytes: number;
};

/** A time in which an upstream said something of itself in each answer. */
export type StatementRecord = {
	readonly upstream: string;
	readonly statement:
		| {readonly kind: 'limit'; readonly perSecond: number}
		| {readonly kind: 'leaving'};
	/** When an answer first said it. */
	readonly from: number;
	readonly until: number;
};

/** A disturbance of a node's process, from its beginning until a while after its end. */
export type NodeDisturbance = {
	readonly host: string;
	readonly kind: 'term' | 'kill' | 'freeze';
	readonly from: number;
	readonly until: number;
};

/** A time with a fault that nobody planned: of a node, an upstream, a link or the store. */
export type UnplannedFault = {readonly from: number; readonly until: number};

/** All that is judged. Times are monotonic ms. */
export type History = {
	readonly clients: ClientRecord[];
	readonly upstreams: UpstreamRecord[];
	readonly statements: StatementRecord[];
	readonly disturbances: NodeDisturbance[];
	readonly faults: UnplannedFault[];
	/** Ends of processes that nobody asked for. */
	readonly crashes: string[];
	/** When the last disturbance had ended. */
	calmFrom: number;
};
