/**
 * State, messages and effects of the machine that accepts submissions.
 */
import type {
	Configuration,
	LogEntry,
	Submission,
	SubmissionOutcome,
} from '../protocol/configuration.js';
import type {
	PlatformCall,
	PlatformOutcome,
	WriteCondition,
} from '../protocol/platform.js';
import type {CommitDecision} from './decide-commit.js';

/** A submission that waits for its answer. */
export type PendingSubmission = Submission & {readonly replyId: number};

/** Where the machine stands with its group of submissions. */
export type CommitPhase =
	| {readonly kind: 'idle'}
	| {readonly kind: 'reading'}
	| {readonly kind: 'checking-snapshot'; readonly condition: WriteCondition}
	| {readonly kind: 'writing'; readonly decision: CommitDecision}
	| {
			readonly kind: 'reading-back';
			readonly decision: CommitDecision;
			readonly tries: number;
	  }
	| {
			readonly kind: 'pausing';
			readonly before:
				| {readonly kind: 'reading'}
				| {
						readonly kind: 'reading-back';
						readonly decision: CommitDecision;
						readonly tries: number;
				  };
	  };

/** State of the commit machine of a node. */
export type CommitState = {
	/** Newest configuration of the log that the machine has seen. */
	readonly base: Configuration;
	/** A complete snapshot of at least this version exists. */
	readonly snapshotVersion: number;
	readonly waiting: readonly PendingSubmission[];
	readonly group: readonly PendingSubmission[];
	readonly tries: number;
	/** Whether a write of this group may still take effect. */
	readonly isUncertain: boolean;
	readonly phase: CommitPhase;
	/** Number of the newest call or wait; answers to older ones are ignored. */
	readonly callId: number;
	/** First answers of refused submissions by team and identifier. */
	readonly refusals: ReadonlyMap<string, SubmissionOutcome>;
};

/** What the commit machine can be told. */
export type CommitMessage =
	| {readonly kind: 'submit'; readonly pending: PendingSubmission}
	| {readonly kind: 'configuration'; readonly configuration: Configuration}
	| {readonly kind: 'snapshot-stored'; readonly version: number}
	| {
			readonly kind: 'answer';
			readonly callId: number;
			readonly outcome: PlatformOutcome;
	  }
	| {readonly kind: 'timer'; readonly callId: number};

/** What the commit machine asks of its task. */
export type CommitEffect =
	| {
			readonly kind: 'call';
			readonly callId: number;
			readonly call: PlatformCall;
	  }
	| {readonly kind: 'wait'; readonly callId: number; readonly delayMs: number}
	| {
			readonly kind: 'reply';
			readonly replyId: number;
			readonly outcome: SubmissionOutcome;
	  }
	| {readonly kind: 'entries'; readonly entries: readonly LogEntry[]}
	| {readonly kind: 'store-snapshot'; readonly configuration: Configuration};

/** Result of one step of the commit machine. */
export type CommitStep = {
	readonly state: CommitState;
	readonly effects: readonly CommitEffect[];
};

/** Options of `stepCommit`. */
export type CommitOptions = {
	/** Wall-clock time in ms. */
	readonly now: number;
	/** Seeded or real source of numbers from 0 up to 1. */
	readonly random: () => number;
	/** Slots of the log; default `logRingSize`. */
	readonly ringSize?: number;
	/** Entries between snapshots; default `snapshotIntervalEntries`. */
	readonly snapshotInterval?: number;
};

/** Options of `stepCommit` with every default filled in. */
export type CommitContext = Required<CommitOptions>;
