/** Sliding counts of the attempts at an upstream to which nested calls come. */
export type ServedShares = {
	/** Time of the counts, monotonic ms. */
	readonly at: number;
	/** Attempts of all kinds that arrived, and those that took a slot; decayed. */
	readonly arrived: number;
	readonly started: number;
	/** Attempts at new work that arrived, and those that took a slot; decayed. */
	readonly newArrived: number;
	readonly newStarted: number;
};

/** What happened to an attempt. */
export type ServedMessage = {
	readonly kind: 'arrived' | 'started';
	readonly isNested: boolean;
};

/** Time constant of the counts, ms: longer than most waits, so that one burst of calls takes no precedence away. */
const sharesMs = 2000;

const noShares: ServedShares = {
	at: 0,
	arrived: 0,
	started: 0,
	newArrived: 0,
	newStarted: 0,
};

/**
 * Counts an attempt that arrives or takes a slot, for `isNewWorkStarved`.
 *
 * Load pattern: a service that serves clients of its own and the calls of a larger
 * service, which alone could use all of its slots.
 *
 * @param shares - counts before; undefined when there are none
 * @param message - see `ServedMessage`
 * @param now - monotonic ms
 * @returns counts after
 * @example
 * stepServedShares(undefined, {kind: 'started', isNested: true}, 0).started; // 1
 */
export function stepServedShares(
	shares: ServedShares | undefined,
	{kind, isNested}: ServedMessage,
	now: number,
): ServedShares {
	const before = shares ?? noShares;
	const keep = Math.exp(-Math.max(0, now - before.at) / sharesMs);
	const arrived = kind === 'arrived' ? 1 : 0;
	const started = 1 - arrived;
	return {
		at: now,
		arrived: before.arrived * keep + arrived,
		started: before.started * keep + started,
		newArrived: before.newArrived * keep + (isNested ? 0 : arrived),
		newStarted: before.newStarted * keep + (isNested ? 0 : started),
	};
}
