/** Sliding counts of the runs that make calls, and of their calls, at one node. */
export type CallBalance = {
	/** Time of the counts, monotonic ms. */
	readonly at: number;
	/** Runs that were asked for, by priority; decayed. */
	readonly wanted: ReadonlyMap<number, number>;
	/** Runs that were begun; decayed. */
	readonly begun: number;
	/** Calls that have ended, failed ones by their weight; decayed. */
	readonly calls: number;
	/** Calls that were answered without a long wait; decayed. */
	readonly served: number;
	/** When a call last failed or waited long, monotonic ms; negative infinity when never. */
	readonly strainedAt: number;
};

/** What happened at a node. */
export type CallBalanceMessage =
	| {
			readonly kind: 'run';
			readonly priority: number;
			/** Whether it was admitted. */
			readonly isBegun: boolean;
	  }
	/** A call was answered. */
	| {
			readonly kind: 'call';
			/** Whether it had no wait that its objective does not leave. */
			readonly isServed: boolean;
	  }
	/** A call was refused, failed or was not answered. */
	| {readonly kind: 'call-failed'};

/** Time constant of the counts, ms: several calls at each node, and less than the second within which free capacity should be noticed. */
const balanceMs = 800;

/**
 * Weight of a failed call. A call that waits long costs the run only time, a failed
 * one all its work: about one in a hundred may fail where one in ten may wait.
 */
const failureWeight = 10;

/** Count below which a priority is forgotten. */
const minWanted = 0.01;

const emptyBalance: CallBalance = {
	at: 0,
	wanted: new Map(),
	begun: 0,
	calls: 0,
	served: 0,
	strainedAt: Number.NEGATIVE_INFINITY,
};

function decayWanted(
	wanted: ReadonlyMap<number, number>,
	keep: number,
): Map<number, number> {
	const after = new Map<number, number>();
	for (const [priority, count] of wanted) {
		if (count * keep >= minWanted) {
			after.set(priority, count * keep);
		}
	}

	return after;
}

/**
 * Counts a run that was asked for, or a call that has ended.
 *
 * Load pattern: load that swings around what the called service can serve. Counts
 * that fade within a second follow it.
 *
 * @param balance - counts before; undefined when there are none
 * @param message - what happened
 * @param now - monotonic ms
 * @returns counts after
 * @example
 * stepCallBalance(undefined, {kind: 'call', isServed: true}, 0).served; // 1
 */
export function stepCallBalance(
	balance: CallBalance | undefined,
	message: CallBalanceMessage,
	now: number,
): CallBalance {
	const before = balance ?? emptyBalance;
	const keep = Math.exp(-Math.max(0, now - before.at) / balanceMs);
	const wanted = decayWanted(before.wanted, keep);
	const faded: CallBalance = {
		at: now,
		wanted,
		begun: before.begun * keep,
		calls: before.calls * keep,
		served: before.served * keep,
		strainedAt: before.strainedAt,
	};
	switch (message.kind) {
		case 'run': {
			const {priority, isBegun} = message;
			wanted.set(priority, (wanted.get(priority) ?? 0) + 1);
			return {...faded, begun: faded.begun + (isBegun ? 1 : 0)};
		}

		case 'call': {
			const {isServed} = message;
			return {
				...faded,
				calls: faded.calls + 1,
				served: faded.served + (isServed ? 1 : 0),
				strainedAt: isServed ? faded.strainedAt : now,
			};
		}

		case 'call-failed': {
			const calls = faded.calls + failureWeight;
			return {...faded, calls, strainedAt: now};
		}
	}
}
