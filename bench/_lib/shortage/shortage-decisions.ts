/**
 * Decisions of a node that `simulateShortage` can exchange.
 */
import type {HostRecords} from '../../../src/coordination/_lib/host-load.js';
import type {PickOptions} from '../../../src/coordination/pick-host.js';
import type {Candidate} from '../../../src/protocol/member.js';

/** State of a node and a request that it has read. */
export type NodeInput = {
	/** Event loop lag, ms. */
	readonly lagMs: number;
	/** Share of the recent time in which the processor was busy. */
	readonly busyShare: number;
	/** Requests that were read and wait for processor time. */
	readonly deferred: number;
	readonly className: string;
	readonly priority: number;
	/** Whether an upstream sends it while it runs another request. */
	readonly isCall: boolean;
	/** Whether upstreams of its class make calls. */
	readonly makesCalls: boolean;
	/** Time since the client first sent it, as the node knows it, ms. */
	readonly ageMs: number;
	/** Monotonic ms. */
	readonly now: number;
	/** Highest event loop lag that another node has stated lately, ms. */
	readonly maxHostLagMs: number;
	/** Time left in which an answer has its full value, ms. */
	readonly objectiveMs: number;
	/** Time left until the deadline, ms. */
	readonly remainingMs: number;
	/** Random number in [0, 1). */
	readonly random: number;
};

/** What a caller's node knows when it picks a host. */
export type PickInput = {
	readonly candidates: readonly Candidate[];
	readonly records: HostRecords;
	readonly options: PickOptions;
	readonly random: () => number;
	/** Name of the own host. */
	readonly host: string;
	/** Event loop lag that each host stated last and when, ms. */
	readonly lags: ReadonlyMap<
		string,
		{readonly ms: number; readonly at: number}
	>;
	/** Event loop lag of the own node, ms. */
	readonly ownLagMs: number;
};

/** Decisions of one node about what it admits, which may keep a state. */
export type NodeAdmission = {
	/** Whether a caller's node admits a client's request. */
	decideCaller(input: NodeInput): boolean;
	/** Whether a gate admits an attempt. */
	decideGate(input: NodeInput): boolean;
	/** Delay after which a client that a node refuses should retry, ms. */
	computeRetryAfterMs(input: NodeInput): number;
	/** Learns how an admitted request ended. */
	recordOutcome?(className: string, isInTime: boolean): void;
	/** Changes the retry delay of a client whose request no host has admitted, ms. */
	reviseRetryAfterMs?(input: NodeInput, retryAfterMs: number): number;
};

/** One set of decisions. */
export type ShortageDecisions = {
	readonly name: string;
	/**
	 * Rank of a request that was read, if requests are started after the answers
	 * that can be read; lower ranks start first. Absent when requests are started
	 * as they are read.
	 */
	readonly computeRank?: (input: NodeInput) => number;
	/** Time of a turn for requests that were read and not started, ms. */
	readonly deferredMs: number;
	/** Connections accepted in a turn. */
	readonly acceptsPerTurn: number;
	/** Accepted connections that are read from in a turn. */
	readonly releasesPerTurn: number;
	/** Whether gates admit by the load of their upstream; otherwise they pass on all. */
	readonly hasGateAdmission: boolean;
	/** Whether nodes repeat attempts. */
	readonly hasRetries: boolean;
	/** Creates the admission of a node that has started. */
	createAdmission(): NodeAdmission;
	pickHost(input: PickInput): Candidate | undefined;
};
