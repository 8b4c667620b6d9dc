import type {RolloutState, StoredRollout} from '../protocol/rollout.js';
import type {WriteOutcome} from '../protocol/platform.js';

/** Orders that were read, with the revision from which to watch for changes. */
export type RolloutsOutcome =
	| {
			readonly kind: 'orders';
			readonly orders: readonly StoredRollout[];
			/** Names of the objects that were removed. */
			readonly removed: readonly string[];
			/** Names of the objects that are no readable orders. */
			readonly unreadable: readonly string[];
			readonly revision: number;
	  }
	| {readonly kind: 'unavailable'};

/** When an order was started, as the node that has started it wrote. */
export type RolloutStart = {
	readonly target: string;
	/** Wall-clock ms. */
	readonly startedMs: number;
};

/** Result of reading a start; one that cannot be decoded counts as absent. */
export type StartOutcome =
	| {readonly kind: 'found'; readonly start: RolloutStart}
	| {readonly kind: 'absent'}
	| {readonly kind: 'unavailable'};

/** Store of the orders for roll-outs. */
export type RolloutStore = {
	listRollouts(): Promise<RolloutsOutcome>;
	/** Waits for changes after a revision; without one in time, returns no orders. */
	watchRollouts(revision: number, waitMs: number): Promise<RolloutsOutcome>;
	/** Writes the status of an order under the condition that its revision is still current. */
	writeRolloutStatus(
		order: Pick<StoredRollout, 'name' | 'revision' | 'target'>,
		state: RolloutState,
	): Promise<WriteOutcome>;
	/** Reads an order; undefined when the store does not answer or it is no order any more. */
	readRollout(name: string): Promise<StoredRollout | undefined>;
	/** Reads when the order of a name was last started. */
	readStart(name: string): Promise<StartOutcome>;
	/** Writes when an order was started, over what was written for earlier ones. */
	writeStart(name: string, start: RolloutStart): Promise<WriteOutcome>;
};
