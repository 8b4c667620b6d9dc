/**
 * Types of the simulated hosts, connections and requests of a fault case.
 */
import type {Ledger} from '../../../src/coordination/create-ledger.js';
import type {GateStamp} from '../../../src/protocol/stamp.js';
import type {Scheduler} from '../../../harness/create-scheduler.js';
import type {Mechanisms} from './mechanisms.js';

/** Steps of a request at which faults occur. */
export const steps = [
	'route',
	'pick',
	'send',
	'admit',
	'queue',
	'slot',
	'run',
	'answer',
	'relay',
	'ask',
	'retry',
] as const;

export type Step = (typeof steps)[number];

/** One attempt as it travels. */
export type FakeAttempt = {
	readonly id: string;
	readonly requestId: string;
	readonly remainingMs: number;
	readonly repeatable: boolean;
	readonly stamp: GateStamp | undefined;
};

/** What a gate says of an attempt. */
export type FakeResult =
	| {readonly kind: 'answered'; readonly body: string}
	| {
			readonly kind: 'not-run' | 'unknown';
			readonly reason:
				'leaving' | 'stale-stamp' | 'not-sent' | 'deadline' | 'fenced';
	  };

/** One connection from the caller's node to a gate. */
export type FakeConnection = {
	isBroken: boolean;
	losesRequests: boolean;
	losesResponses: boolean;
	readonly onBroken: () => void;
};

/** A host: gate and upstream, each of which may fail. */
export type FakeHost = {
	readonly name: string;
	ledger: Ledger<string>;
	/** Raised by each start of the gate; earlier work is void then. */
	generation: number;
	isGateAlive: boolean;
	isLeaving: boolean;
	leavingSince: number;
	gateFrozenUntil: number;
	upstreamGeneration: number;
	isUpstreamAlive: boolean;
	upstreamFrozenUntil: number;
	isShedding: boolean;
	truncatesResponses: boolean;
	/** Drops requests and answers without a word. */
	isUnresponsive: boolean;
	serviceMs: number;
	inFlight: number;
	readonly queue: Array<{
		readonly run: () => void;
		readonly refuse: () => void;
	}>;
	readonly waiters: Map<string, Array<(result: FakeResult) => void>>;
	readonly connections: Set<FakeConnection>;
	/** Starts of work at the upstream, and when the gate sent it. */
	readonly starts: Array<{
		readonly requestId: string;
		readonly sentAt: number;
	}>;
};

/** The end of a request at the client. */
export type RequestEnd = {
	readonly outcome: 'answered' | 'not-run' | 'unknown';
	readonly body: string | undefined;
	readonly at: number;
};

/** A client's request. */
export type FakeRequest = {
	readonly id: string;
	readonly startedAt: number;
	readonly ends: RequestEnd[];
	isCancelled: boolean;
	cancel: () => void;
};

/** Everything in a fault case. */
export type Simulation = {
	readonly scheduler: Scheduler;
	readonly mechanisms: Mechanisms;
	readonly repeatable: boolean;
	readonly hosts: readonly FakeHost[];
	readonly requests: FakeRequest[];
	isCallerAlive: boolean;
	/** Delay added to each answer on its way to the caller's node. */
	responseDelayMs: number;
	/** Times after which an attempt is delivered again. */
	duplicateDelaysMs: readonly number[];
	/** Until when nothing passes in a direction. */
	cutToGateUntil: number;
	cutToCallerUntil: number;
	/** Called at each step of each request. */
	onStep: (step: Step, requestId: string, at: StepLocation) => void;
};

/** Where a step happens. */
export type StepLocation = {
	readonly host?: FakeHost;
	readonly connection?: FakeConnection;
};

export const deadlineMs = 2000;
export const slots = 2;
export const lateDuplicateMs = 80_000;
