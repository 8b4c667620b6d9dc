/**
 * State, messages and effects of the state machine that commits submissions to
 * the log.
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

/** A submission that waits for its reply. */
export type PendingSubmission = Submission & {readonly replyId: number};

/** Phase in which the current group of submissions is. */
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

/** State of a node's commit state machine. */
export type CommitState = {
	/** Newest configuration that was read from, or written to, the log. */
	readonly base: Configuration;
	/** A complete snapshot of at least this version exists. */
	readonly snapshotVersion: number;
	readonly waiting: readonly PendingSubmission[];
	readonly group: readonly PendingSubmission[];
	readonly tries: number;
	/** Whether a write of this group may still take effect. */
	readonly isUncertain: boolean;
	readonly phase: CommitPhase;
	/** Identifier of the newest call or wait; answers to older ones are ignored. */
	readonly callId: number;
	/** First reply to each refused submission, by team and submission identifier. */
	readonly refusals: ReadonlyMap<string, SubmissionOutcome>;
};

/** Messages that the commit state machine handles. */
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

/** Effects that the caller of `stepCommit` carries out. */
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

/** Result of one step of the commit state machine. */
export type CommitStep = {
	readonly state: CommitState;
	readonly effects: readonly CommitEffect[];
};

/** Options of `stepCommit`. */
export type CommitOptions = {
	/** Wall-clock time in ms. */
	readonly now: number;
	/** Source of random numbers from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
	/** Number of log slots; default `logRingSize`. */
	readonly ringSize?: number;
	/** Number of entries between snapshots; default `snapshotIntervalEntries`. */
	readonly snapshotInterval?: number;
};

/** Options of `stepCommit` with all defaults applied. */
export type CommitContext = Required<CommitOptions>;
