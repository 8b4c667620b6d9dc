/**
 * Types of the simulation that the configuration's fault cases run in: the
 * product's state machines, a fake platform and a fake network on one clock.
 */
import type {Scheduler} from '../../../harness/create-scheduler.js';
import type {DeliveryOptions} from '../../../src/coordination/step-delivery.js';
import type {
	LogEntry,
	Submission,
	SubmissionOutcome,
} from '../../../src/protocol/configuration.js';
import type {
	PlatformCall,
	PlatformOutcome,
} from '../../../src/protocol/platform.js';

/** Steps of a configuration change at which a fault is applied. */
export const steps = [
	'submit',
	'create',
	'read-back',
	'root-read',
	'child-poll',
	'apply',
	'swap',
	'report',
	'status-write',
	'snapshot',
	'snapshot-deletion',
] as const;

export type Step = (typeof steps)[number];

/** Faults that a case applies. */
export const faults = [
	'killed',
	'data-centre-killed',
	'frozen',
	'host-replaced',
	'platform-down',
	'platform-slow',
	'answer-lost',
	'watch-stalled',
	'connections-stalled',
	'cut-from-platform',
	'data-centres-cut',
	'one-way-cut',
	'reordered-duplicated',
	'concurrent-operators',
] as const;

export type Fault = (typeof faults)[number];

/** Mechanisms of the product that a test replaces by naive ones. */
export type Variant = {
	readonly delivery?: DeliveryOptions['rules'];
	/** Replaces an answer of the platform before the state machines get it. */
	readonly changeOutcome?: (
		call: PlatformCall,
		outcome: PlatformOutcome,
	) => PlatformOutcome;
	/** Whether the platform ignores the conditions of writes. */
	readonly ignoresConditions?: boolean;
};

/** A simulated node: the product's state machines, without sockets. */
export type SimNode = {
	readonly name: string;
	/** Place in the fleet; the replacement of a host gets the same slot. */
	readonly slot: string;
	readonly dataCentre: string;
	readonly address: string;
	readState(): 'up' | 'frozen' | 'dead';
	readStateSince(): number;
	readRunningVersion(): number | undefined;
	/** Runs an action now, or on resume if frozen; never if dead. */
	receive(action: () => void): void;
	submit(
		submission: Submission,
		answer: (outcome: SubmissionOutcome) => void,
	): void;
	handlePoll(poll: unknown, answer: (value: unknown) => void): void;
	updateMembers(members: readonly SimNode[]): void;
	kill(): void;
	freeze(): void;
	resume(): void;
};

/** The fake platform. */
export type FakePlatform = {
	/** All entries written to the log, in order. */
	readonly log: LogEntry[];
	/** All status objects written, in order. */
	readonly statuses: Array<{readonly key: string; readonly value: unknown}>;
	readonly faults: {
		downUntil: number;
		slowUntil: number;
		lostAnswerCount: number;
		areWatchesStalled: boolean;
		readonly cutUntil: Map<string, number>;
	};
	call(
		dataCentre: string,
		call: PlatformCall,
		answer: (outcome: PlatformOutcome) => void,
	): void;
};

/** The fake network between nodes. */
export type FakeNetwork = {
	readonly faults: {
		reorderingUntil: number;
		dataCentresCutUntil: number;
		/** Links, `FROM>TO`, that lose every message until a time. */
		readonly cutLinks: Map<string, number>;
		/** Connections, `FROM>TO`, that lose requests until the caller drops them. */
		readonly silent: Set<string>;
	};
	send(from: SimNode, to: SimNode, deliver: () => void): void;
	/** Sends a request on a connection opened by `from`. */
	request(from: SimNode, to: SimNode, deliver: () => void): void;
	dropConnection(from: SimNode, to: SimNode): void;
};

/** The state of a simulation. */
export type Simulation = {
	readonly scheduler: Scheduler;
	readonly platform: FakePlatform;
	readonly network: FakeNetwork;
	readonly variant: Variant;
	readonly violations: string[];
	/** Current node of each slot. */
	readonly nodes: Map<string, SimNode>;
	/** Current and earlier nodes, by address. */
	readonly nodesByAddress: Map<string, SimNode>;
	/** Versions run in each slot, in order, by all its nodes. */
	readonly activations: Map<string, Array<{version: number; digest: string}>>;
	/** Records a time until which a fault lasts. */
	recordFaultEnd(time: number): void;
	/** Runs the action of a step; a fault may be applied before or after it. */
	reachStep(step: Step, node: SimNode, action: () => void): void;
	/** Starts more operators that submit concurrently with the others. */
	startConcurrentOperators(): void;
	/** Starts a node in a slot, also after a restart or a replacement. */
	startNode(slot: string, dataCentre: string, name: string): void;
};
