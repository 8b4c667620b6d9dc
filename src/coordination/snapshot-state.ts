/**
 * State, messages and effects of the machine that writes snapshots.
 */
import type {Configuration} from '../protocol/configuration.js';
import type {
	PlatformCall,
	PlatformObject,
	PlatformOutcome,
	WriteCondition,
} from '../protocol/platform.js';
import type {SnapshotChunk} from '../state/encode-snapshot.js';

/** A snapshot on its way into the platform. */
export type SnapshotJob = {
	readonly version: number;
	readonly digest: string;
	readonly chunks: readonly SnapshotChunk[];
	readonly previous: number;
	/** Condition under which the head is moved: as it was read at the start. */
	readonly condition: WriteCondition;
};

/** Where the snapshot writer stands. */
export type SnapshotPhase =
	| {readonly kind: 'idle'}
	| {readonly kind: 'reading-head'; readonly configuration: Configuration}
	| {
			readonly kind: 'writing';
			readonly job: SnapshotJob;
			readonly index: number;
	  }
	| {
			readonly kind: 'verifying-chunk';
			readonly job: SnapshotJob;
			readonly index: number;
	  }
	| {readonly kind: 'updating-head'; readonly job: SnapshotJob}
	| {readonly kind: 'verifying-head'; readonly job: SnapshotJob}
	| {readonly kind: 'listing'; readonly oldestKeptVersion: number}
	| {
			readonly kind: 'deleting';
			readonly oldestKeptVersion: number;
			readonly remaining: readonly PlatformObject[];
	  };

/** State of a node's snapshot writer. */
export type SnapshotState = {
	readonly phase: SnapshotPhase;
	/** Number of the newest call; answers to older ones are ignored. */
	readonly callId: number;
};

/** What the snapshot writer can be told. */
export type SnapshotMessage =
	| {readonly kind: 'store'; readonly configuration: Configuration}
	| {
			readonly kind: 'answer';
			readonly callId: number;
			readonly outcome: PlatformOutcome;
	  };

/** What the snapshot writer asks of its task. */
export type SnapshotEffect =
	| {
			readonly kind: 'call';
			readonly callId: number;
			readonly call: PlatformCall;
	  }
	/** A complete snapshot of at least this version exists. */
	| {readonly kind: 'stored'; readonly version: number};

/** Result of one step of the snapshot writer. */
export type SnapshotStep = {
	readonly state: SnapshotState;
	readonly effects: readonly SnapshotEffect[];
};
