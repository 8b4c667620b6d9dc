/**
 * Types of the small world in which the configuration's faults are tried: the
 * product's state machines, a fake platform, a fake network, one clock.
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

/** Steps of the system's work at which a fault occurs. */
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

/** Faults that a case brings about. */
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

/** Parts of the product that a test replaces by naive ones. */
export type Variant = {
	readonly delivery?: DeliveryOptions['rules'];
	/** Stands between the platform's answers and the machines. */
	readonly changeOutcome?: (
		call: PlatformCall,
		outcome: PlatformOutcome,
	) => PlatformOutcome;
	/** Whether the platform writes whatever the condition says. */
	readonly ignoresConditions?: boolean;
};

/** A node of the world: its machines, without sockets. */
export type SimNode = {
	readonly name: string;
	/** Place in the fleet; a replaced host's successor has the same. */
	readonly slot: string;
	readonly dataCentre: string;
	readonly address: string;
	readState(): 'up' | 'frozen' | 'dead';
	readStateSince(): number;
	readRunningVersion(): number | undefined;
	/** Has the node do something, now or once it wakes. */
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
	/** Every entry that the log took, in order of writing. */
	readonly log: LogEntry[];
	/** Every status object that was written, in order. */
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
		/** Links, `FROM>TO`, that lose everything until a time. */
		readonly cutLinks: Map<string, number>;
		/** Connections, `FROM>TO`, that are silent until the caller gives up. */
		readonly silent: Set<string>;
	};
	send(from: SimNode, to: SimNode, deliver: () => void): void;
	/** Sends on a connection that the caller, `from`, has opened. */
	request(from: SimNode, to: SimNode, deliver: () => void): void;
	dropConnection(from: SimNode, to: SimNode): void;
};

/** The world. */
export type Simulation = {
	readonly scheduler: Scheduler;
	readonly platform: FakePlatform;
	readonly network: FakeNetwork;
	readonly variant: Variant;
	readonly violations: string[];
	/** Present node of each slot. */
	readonly nodes: Map<string, SimNode>;
	/** Every node that there was, by address. */
	readonly nodesByAddress: Map<string, SimNode>;
	/** Versions run in each slot, in order, over all its nodes. */
	readonly activations: Map<string, Array<{version: number; digest: string}>>;
	/** Notes a time until which a fault lasts. */
	recordFaultEnd(time: number): void;
	/** Marks that a node reaches a step, at which a fault may occur. */
	reachStep(step: Step, node: SimNode, action: () => void): void;
	/** Starts more operators, who race the ones at work. */
	startConcurrentOperators(): void;
	/** Starts a node in a slot, as after a restart or a replacement. */
	startNode(slot: string, dataCentre: string, name: string): void;
};
