/**
 * Types of the state, messages and effects of a node's membership.
 */
import type {
	Announcement,
	Departure,
	Exchange,
	ExchangeAnswer,
	Member,
} from '../protocol/member.js';
import type {MemberTable} from '../state/member-table.js';

/**
 * Role of the node: `joining` until it has the records of its data centre,
 * `refused` while another live host has its name.
 */
export type MembersRole = 'joining' | 'member' | 'refused' | 'left';

/** Lease of an upstream on this host, or the tombstone of an ended one. */
export type UpstreamLease = {
	readonly endsAt: number;
	readonly incarnation: number;
	readonly address: string;
	/** Sequence number of the last announcement. */
	readonly sequence: number;
	readonly state: Announcement['state'] | 'ended';
};

/** Upstreams that have left the host of a member. */
export type HostDepartures = {
	/** Address of the member. */
	readonly address: string;
	readonly departures: readonly Departure[];
};

/** A probe of a member that is in progress. */
export type Probe = {
	readonly name: string;
	readonly address: string;
	readonly stage: 'direct' | 'indirect';
	readonly endsAt: number;
};

/** A sync of records with another member, bucket by bucket. */
export type Sync = {
	readonly address: string;
	readonly startedAt: number;
	/** Data centre and index of each bucket still to be compared. */
	readonly remaining: ReadonlyArray<readonly [string, number]>;
};

/**
 * State of the contact of a bridge with another data centre; times are
 * monotonic ms.
 */
export type DataCentreContact = {
	readonly pingedAt: number;
	readonly answeredAt: number;
	readonly hasFailed: boolean;
	/** When records that failed to arrive were last resent to other members. */
	readonly resentAt: number;
};

/** Known seeds and the state of reading the seeds object in the platform. */
export type SeedsState = {
	/** Addresses of the seeds in the settings. */
	readonly configuredAddresses: readonly string[];
	readonly addresses: readonly string[];
	/** Addresses of the local data centre's object. */
	readonly localAddresses: readonly string[];
	/** Addresses at which a sync has failed since another one was left to be tried. */
	readonly failedAddresses: ReadonlySet<string>;
	readonly failures: number;
	/** Whether the last read of the object was answered. */
	readonly isAvailable: boolean;
	/**
	 * Number of members of the local data centre, as last written to the object.
	 */
	readonly memberCount: number;
	/** Whether the object is written after the next read unless it is good, whoever usually writes it. */
	readonly mustWrite?: boolean;
	/** Number of writes in a row after which the object was still not good. */
	readonly vainWrites: number;
	/** When the object may be written again, monotonic ms. */
	readonly nextWriteAt: number;
	/** Revision of the store from which the objects can be watched; undefined until they are read. */
	readonly revision: number | undefined;
	readonly isWatching: boolean;
	/** When the object is next read, monotonic ms. */
	readonly nextReadAt: number;
	/** When a sync with a seed may next be started, monotonic ms. */
	readonly nextJoinAt: number;
};

/**
 * State of the rate limits, whose windows last one second; times are monotonic
 * ms.
 */
export type RateLimitState = {
	readonly bucketWindowStartedAt: number;
	readonly bucketAnswers: number;
	readonly refutedAt: number;
	readonly bridgeBypassedAt: number;
	readonly spreadWindowStartedAt: number;
	readonly spreadRecords: number;
};

/** A check of another host that seems to have the name of this node. */
export type NameCheck = {
	readonly address: string;
	readonly incarnation: number;
	readonly startedAt: number;
};

/** State of a node's membership task. */
export type MembersState = {
	readonly self: Member;
	readonly role: MembersRole;
	/** Wall-clock time at which the process started, ms. */
	readonly startedMs: number;
	/** Duration of the lease that an announcement grants, ms. */
	readonly leaseMs: number;
	readonly startedAt: number;
	/** Wall-clock time minus monotonic time, ms. */
	readonly wallOffsetMs: number;
	/** Records of other members. */
	readonly table: MemberTable;
	/** When each suspect member of the local data centre is marked as dead. */
	readonly suspicions: ReadonlyMap<string, number>;
	/** When each dead or left member is removed. */
	readonly tombstones: ReadonlyMap<string, number>;
	/** Names of changed records and how many more times each is piggybacked. */
	readonly pendingUpdates: ReadonlyMap<string, number>;
	/** Names of changed records to send with the next spread. */
	readonly pendingSpread: ReadonlySet<string>;
	/** Names of changed records to relay to other data centres. */
	readonly pendingRelays: ReadonlySet<string>;
	readonly leases: ReadonlyMap<string, UpstreamLease>;
	/** Upstreams that have left the hosts of other members, by name of the member. */
	readonly departures: ReadonlyMap<string, HostDepartures>;
	readonly probe: Probe | undefined;
	/** Names of the members still to be probed in this round. */
	readonly probeOrder: readonly string[];
	readonly sync: Sync | undefined;
	/** Whether the last sync was aborted before its last bucket. */
	readonly isSyncIncomplete: boolean;
	readonly contacts: ReadonlyMap<string, DataCentreContact>;
	readonly seeds: SeedsState;
	/**
	 * Addresses of the members that asked for a probe, by name of the probed
	 * member.
	 */
	readonly relayedProbes: ReadonlyMap<string, readonly string[]>;
	readonly rateLimits: RateLimitState;
	readonly nameCheck: NameCheck | undefined;
	readonly lastStepAt: number;
	/** When the process last resumed after a pause, monotonic ms. */
	readonly resumedAt: number;
	/** Whether a `spread` message is on its way. */
	readonly isSpreadScheduled: boolean;
	/** Whether the node has become a member knowing few others, and still looks for them. */
	readonly isSeeking: boolean;
};

/** Result of reading the seeds object. */
export type SeedsOutcome =
	| {
			readonly kind: 'read';
			readonly addresses: readonly string[];
			readonly memberCount: number;
			readonly writtenMs: number;
			/** Version of the local data centre's object, if it exists; 0 if it cannot be used for a condition. */
			readonly version: number | undefined;
			readonly localAddresses: readonly string[];
			/** Whether a part of the local data centre's object cannot be used; false by default. */
			readonly isDamaged?: boolean;
			/** Revision of the store from which to watch. */
			readonly revision?: number | undefined;
	  }
	| {readonly kind: 'unavailable'};

/** Result of watching the seeds objects. */
export type SeedsWatchOutcome =
	| {readonly kind: 'changed'}
	| {readonly kind: 'unchanged'; readonly revision: number}
	| {readonly kind: 'failed'};

/** Messages to the membership state machine. */
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
	| {readonly kind: 'seeds-watched'; readonly outcome: SeedsWatchOutcome}
	/** The store has come back from an older copy. */
	| {readonly kind: 'store-restored'}
	| {readonly kind: 'spread'}
	/** Looks for the other members; `failures` counts the seeks that found none. */
	| {readonly kind: 'seek'; readonly failures: number}
	| {readonly kind: 'leave'}
	| {readonly kind: 'tick'};

/** Effects that the membership task carries out. */
export type MembersEffect =
	/** Sends a request, whose answer or failure is passed back as a message. */
	| {
			readonly kind: 'send';
			readonly address: string;
			readonly request: Exchange;
	  }
	/** Answers the request being handled. */
	| {readonly kind: 'answer'; readonly answer: ExchangeAnswer}
	/** Passes back a `spread` message after a delay. */
	| {readonly kind: 'schedule-spread'; readonly delayMs: number}
	/** Passes back a `seek` message after a delay. */
	| {
			readonly kind: 'schedule-seek';
			readonly failures: number;
			readonly delayMs: number;
	  }
	| {readonly kind: 'read-seeds'}
	/** Waits for a change of a seeds object, of any data centre. */
	| {
			readonly kind: 'watch-seeds';
			readonly revision: number;
			readonly waitMs: number;
	  }
	| {
			readonly kind: 'write-seeds';
			readonly addresses: readonly string[];
			readonly memberCount: number;
			readonly version: number | undefined;
	  }
	/**
	 * Reports whether an announcement was accepted; an ignored one must have no
	 * effect.
	 */
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

/** Result of one step of the membership state machine. */
export type MembersStep = {
	readonly state: MembersState;
	readonly effects: readonly MembersEffect[];
};
