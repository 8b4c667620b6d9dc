/**
 * Types of the simulated hosts, connections and requests of a fault case.
 */
import type {Ledger} from '../../../src/coordination/create-ledger.js';
import type {GateStamp} from '../../../src/protocol/stamp.js';
import type {Scheduler} from '../../../harness/create-scheduler.js';
import type {Mechanisms} from './mechanisms.js';

/** Steps of a request at which faults are applied. */
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

/** An attempt as sent to a gate. */
export type FakeAttempt = {
	readonly id: string;
	readonly requestId: string;
	readonly remainingMs: number;
	readonly repeatable: boolean;
	readonly stamp: GateStamp | undefined;
};

/** Result of an attempt as reported by a gate. */
export type FakeResult =
	| {readonly kind: 'answered'; readonly body: string}
	| {
			readonly kind: 'not-run' | 'unknown';
			readonly reason:
				'leaving' | 'stale-stamp' | 'not-sent' | 'deadline' | 'fenced';
	  };

/** A connection from the caller's node to a gate. */
export type FakeConnection = {
	isBroken: boolean;
	losesRequests: boolean;
	losesResponses: boolean;
	readonly onBroken: () => void;
};

/** A host with a gate and an upstream, which fail independently. */
export type FakeHost = {
	readonly name: string;
	ledger: Ledger<string>;
	/** Incremented when the gate is killed; work of earlier ones is dropped. */
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
	/** Whether the upstream drops requests and responses without an error. */
	isUnresponsive: boolean;
	serviceMs: number;
	inFlight: number;
	readonly queue: Array<{
		readonly run: () => void;
		readonly refuse: () => void;
	}>;
	readonly waiters: Map<string, Array<(result: FakeResult) => void>>;
	readonly connections: Set<FakeConnection>;
	/** Requests that the upstream started, and when the gate sent them. */
	readonly starts: Array<{
		readonly requestId: string;
		readonly sentAt: number;
	}>;
};

/** Outcome of a request at the client. */
export type RequestEnd = {
	readonly outcome: 'answered' | 'not-run' | 'unknown';
	readonly body: string | undefined;
	readonly at: number;
};

/** A request of the client. */
export type FakeRequest = {
	readonly id: string;
	readonly startedAt: number;
	readonly ends: RequestEnd[];
	isCancelled: boolean;
	cancel: () => void;
};

/** State of a fault case. */
export type Simulation = {
	readonly scheduler: Scheduler;
	readonly mechanisms: Mechanisms;
	readonly repeatable: boolean;
	readonly hosts: readonly FakeHost[];
	readonly requests: FakeRequest[];
	isCallerAlive: boolean;
	/** Delay added to each message to the caller's node. */
	responseDelayMs: number;
	/** Delays after which an attempt is delivered again. */
	duplicateDelaysMs: readonly number[];
	/** Times until which all messages in a direction are lost. */
	cutToGateUntil: number;
	cutToCallerUntil: number;
	/** Called at each step of each request. */
	onStep: (step: Step, requestId: string, at: StepLocation) => void;
};

/** Host and connection at which a step happens. */
export type StepLocation = {
	readonly host?: FakeHost;
	readonly connection?: FakeConnection;
};

export const deadlineMs = 2000;
export const slots = 2;
export const lateDuplicateMs = 80_000;
