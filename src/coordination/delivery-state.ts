/**
 * State, messages and effects of the machine that keeps a node's
 * configuration current, serves other nodes and reports progress.
 */
import type {
	Configuration,
	DataCentreStatus,
	LogEntry,
	SnapshotHead,
} from '../protocol/configuration.js';
import type {Member} from '../protocol/member.js';
import type {Poll, PollAnswer, Progress, Refusal} from '../protocol/peer.js';
import type {
	PlatformCall,
	PlatformOutcome,
	WriteCondition,
} from '../protocol/platform.js';
import type {Position} from './compute-position.js';

/** What a root reads from the platform next. */
export type SourceMode =
	| {readonly kind: 'head'}
	| {
			readonly kind: 'chunk';
			readonly head: SnapshotHead;
			readonly texts: readonly string[];
	  }
	/** `revision` is that of the first page, from which the watch goes on. */
	| {readonly kind: 'catch-up'; readonly revision: number | undefined}
	| {readonly kind: 'watch'; readonly revision: number};

/** What a call in flight is for. */
export type CallPurpose =
	| {readonly kind: 'source'; readonly mode: SourceMode}
	| {readonly kind: 'probe'}
	| {readonly kind: 'start-probe'}
	| {readonly kind: 'status-read'}
	| {readonly kind: 'status-write'; readonly status: DataCentreStatus}
	| {
			readonly kind: 'pull' | 'repair' | 'report';
			readonly member: string;
			readonly startedAt: number;
	  };

/** A call in flight; it counts as failed when its time has passed. */
export type Call = {readonly purpose: CallPurpose; readonly endsAt: number};

/** A poll that waits for something new. */
export type WaitingPoll = {
	readonly pollId: number;
	readonly poll: Poll;
	readonly endsAt: number;
};

/** The last report of a child. */
export type ChildReport = {
	readonly progress: Progress;
	readonly receivedAt: number;
};

/** State of a node's delivery machine; times are monotonic ms. */
export type DeliveryState = {
	readonly name: string;
	readonly dataCentre: string;
	readonly members: readonly Member[];
	readonly position: Position | undefined;
	/** Held configurations, oldest first; never empty, the last is newest. */
	readonly heldConfigurations: readonly Configuration[];
	/** Version that the node runs; undefined before the first. */
	readonly runningVersion: number | undefined;
	/** Whether a first version may be run: nothing newer can have been run. */
	readonly isSettled: boolean;
	/** Newest version held when the node had settled; the first to run. */
	readonly minStartVersion: number | undefined;
	/** When a node that knows a safe version first answered. */
	readonly firstContactAt: number | undefined;
	readonly safeVersion: number;
	/** Other nodes' held versions by name. */
	readonly holders: ReadonlyMap<
		string,
		{readonly version: number; readonly at: number}
	>;
	readonly entries: readonly LogEntry[];
	readonly refusal: Refusal | undefined;
	readonly needsSnapshot: boolean;
	/** A snapshot that was refused; until then only a newer one is wanted. */
	readonly refusedSnapshot: {readonly version: number; readonly until: number};
	readonly source: SourceMode;
	readonly sourceFailures: number;
	readonly nextSourceCallAt: number;
	readonly nextProbeAt: number;
	readonly nextStartProbeAt: number;
	readonly pullFailures: number;
	readonly nextPullAt: number;
	/** A version that another node has and this one lacks. */
	readonly missingVersion:
		| {readonly version: number; readonly name: string; readonly since: number}
		| undefined;
	/** What the parent, or the other roots, were last told, and when. */
	readonly lastReport: {readonly text: string; readonly at: number};
	readonly reportFailures: number;
	readonly children: ReadonlyMap<string, ChildReport>;
	readonly polls: readonly WaitingPoll[];
	readonly status: {
		readonly condition: WriteCondition | undefined;
		readonly version: number;
		readonly text: string;
		readonly at: number;
	};
	readonly calls: ReadonlyMap<number, Call>;
	readonly lastCallId: number;
};

/** How a call to another node ended; the value is not yet checked. */
export type PollOutcome =
	| {readonly kind: 'answered'; readonly value: unknown}
	| {readonly kind: 'failed'; readonly reason: string};

/** What the delivery machine can be told. */
export type DeliveryMessage =
	| {readonly kind: 'view'; readonly members: readonly Member[]}
	| {readonly kind: 'tick'}
	| {readonly kind: 'entries'; readonly entries: readonly LogEntry[]}
	/** Another node was heard to hold a version. */
	| {readonly kind: 'holder'; readonly name: string; readonly version: number}
	| {readonly kind: 'poll'; readonly pollId: number; readonly poll: Poll}
	| {
			readonly kind: 'platform-answer';
			readonly callId: number;
			readonly outcome: PlatformOutcome;
	  }
	| {
			readonly kind: 'poll-answer';
			readonly callId: number;
			readonly outcome: PollOutcome;
	  };

/** What the delivery machine asks of its task. */
export type DeliveryEffect =
	| {
			readonly kind: 'call';
			readonly callId: number;
			readonly call: PlatformCall;
	  }
	| {
			readonly kind: 'poll';
			readonly callId: number;
			readonly address: string;
			readonly poll: Poll;
			readonly timeoutMs: number;
			/** Whether to open a new connection. */
			readonly needsNewConnection: boolean;
	  }
	| {
			readonly kind: 'answer';
			readonly pollId: number;
			readonly answer: PollAnswer;
	  }
	| {readonly kind: 'run'; readonly configuration: Configuration}
	| {
			readonly kind: 'log';
			readonly level: 'info' | 'warn' | 'error';
			readonly message: string;
			readonly fields: Readonly<Record<string, unknown>>;
	  };

/** Result of one step of the delivery machine. */
export type DeliveryStep = {
	readonly state: DeliveryState;
	readonly effects: readonly DeliveryEffect[];
};
