/**
 * Types of the state, messages and effects of a node's membership.
 */
import type {
	Announcement,
	Exchange,
	ExchangeAnswer,
	Member,
} from '../protocol/member.js';
import type {MemberTable} from '../state/member-table.js';

/**
 * Part that the node takes: `joining` until it has its data centre's records,
 * `refused` while another live host has its name.
 */
export type MembersRole = 'joining' | 'member' | 'refused' | 'left';

/** Lease of an upstream on the own host, or what is left of an ended one. */
export type UpstreamLease = {
	readonly endsAt: number;
	readonly incarnation: number;
	readonly address: string;
	/** Number of the last announcement. */
	readonly sequence: number;
	readonly state: Announcement['state'] | 'ended';
};

/** The member whose probe awaits its result. */
export type Probe = {
	readonly name: string;
	readonly address: string;
	readonly stage: 'direct' | 'indirect';
	readonly endsAt: number;
};

/** A comparison of records with another member, bucket by bucket. */
export type Sync = {
	readonly address: string;
	readonly startedAt: number;
	readonly remaining: ReadonlyArray<readonly [string, number]>;
};

/** What a bridge knows of its contact with another data centre. */
export type DataCentreContact = {
	readonly pingedAt: number;
	readonly answeredAt: number;
	readonly hasFailed: boolean;
	/** When records that did not arrive were last sent to others, ms. */
	readonly resentAt: number;
};

/** What is known of the seeds object in the platform. */
export type SeedsState = {
	/** Seeds from the settings. */
	readonly configuredAddresses: readonly string[];
	readonly addresses: readonly string[];
	readonly failures: number;
	/** Whether the last read was answered. */
	readonly isAvailable: boolean;
	/** Size of the own data centre as last written. */
	readonly memberCount: number;
	/** When the object is next read, monotonic ms. */
	readonly nextReadAt: number;
	/** When the next member is asked for its records, monotonic ms. */
	readonly nextJoinAt: number;
};

/** Bounds whose windows begin anew each second. */
export type RateLimitState = {
	readonly bucketWindowStartedAt: number;
	readonly bucketAnswers: number;
	readonly refutedAt: number;
	readonly bridgeBypassedAt: number;
	readonly spreadWindowStartedAt: number;
	readonly spreadRecords: number;
};

/** Another host that seems to have the own name, while it is asked. */
export type NameCheck = {
	readonly address: string;
	readonly incarnation: number;
	readonly startedAt: number;
};

/** State of a node's membership task. */
export type MembersState = {
	readonly self: Member;
	readonly role: MembersRole;
	readonly startedMs: number;
	/** How long an announcement counts, ms. */
	readonly leaseMs: number;
	readonly startedAt: number;
	/** Wall-clock time less monotonic time, ms. */
	readonly wallOffsetMs: number;
	/** Records of other members. */
	readonly table: MemberTable;
	/** When each suspected member of the own data centre is declared dead. */
	readonly suspicions: ReadonlyMap<string, number>;
	/** When each dead or departed member is forgotten. */
	readonly tombstones: ReadonlyMap<string, number>;
	/** Names of changed records and how often each is still to be sent. */
	readonly pendingUpdates: ReadonlyMap<string, number>;
	/** Names of changed records not yet spread at once. */
	readonly pendingSpread: ReadonlySet<string>;
	/** Names of changed records of the own data centre, for the others. */
	readonly pendingRelays: ReadonlySet<string>;
	readonly leases: ReadonlyMap<string, UpstreamLease>;
	readonly probe: Probe | undefined;
	/** Names still to be probed in this round. */
	readonly probeOrder: readonly string[];
	readonly sync: Sync | undefined;
	/** Whether the last comparison ended before its last bucket. */
	readonly isSyncIncomplete: boolean;
	readonly contacts: ReadonlyMap<string, DataCentreContact>;
	readonly seeds: SeedsState;
	/** Relayed probes: target's name to the addresses that asked. */
	readonly relayedProbes: ReadonlyMap<string, readonly string[]>;
	readonly rateLimits: RateLimitState;
	readonly nameCheck: NameCheck | undefined;
	readonly lastStepAt: number;
	/** When the process last woke from a pause, monotonic ms. */
	readonly resumedAt: number;
	readonly isSpreadScheduled: boolean;
};

/** Result of reading the seeds object. */
export type SeedsOutcome =
	| {
			readonly kind: 'read';
			readonly addresses: readonly string[];
			readonly memberCount: number;
			readonly writtenMs: number;
			/** Version of the own data centre's object, when there is one. */
			readonly version: number | undefined;
			readonly localAddresses: readonly string[];
	  }
	| {readonly kind: 'unavailable'};

/** What a membership task can be told. */
export type MembersMessage =
	| {
			readonly kind: 'announce';
			readonly id: string;
			readonly announcement: Announcement;
	  }
	| {readonly kind: 'withdraw'; readonly id: string}
	| {readonly kind: 'request'; readonly request: Exchange}
	| {
			readonly kind: 'answer';
			readonly address: string;
			readonly request: Exchange;
			readonly answer: ExchangeAnswer;
	  }
	| {
			readonly kind: 'failure';
			readonly address: string;
			readonly request: Exchange;
	  }
	| {readonly kind: 'seeds'; readonly outcome: SeedsOutcome}
	| {readonly kind: 'spread'}
	| {readonly kind: 'leave'}
	| {readonly kind: 'tick'};

/** What the task is to do. */
export type MembersEffect =
	/** Send a request; its answer or failure comes back as a message. */
	| {
			readonly kind: 'send';
			readonly address: string;
			readonly request: Exchange;
	  }
	/** Answer the request that is being handled. */
	| {readonly kind: 'answer'; readonly answer: ExchangeAnswer}
	/** Come back with a `spread` message after a delay. */
	| {readonly kind: 'schedule-spread'; readonly delayMs: number}
	| {readonly kind: 'read-seeds'}
	| {
			readonly kind: 'write-seeds';
			readonly addresses: readonly string[];
			readonly memberCount: number;
			readonly version: number | undefined;
	  }
	/** Whether an announcement counted; an ignored one must change nothing. */
	| {
			readonly kind: 'announcement';
			readonly outcome: 'accepted' | 'ignored';
	  }
	| {
			readonly kind: 'log';
			readonly level: 'error' | 'warn' | 'info';
			readonly text: string;
			readonly member: string;
	  };

/** Result of one step. */
export type MembersStep = {
	readonly state: MembersState;
	readonly effects: readonly MembersEffect[];
};
