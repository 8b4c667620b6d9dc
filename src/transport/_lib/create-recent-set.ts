/** A bounded set of the keys that were added recently. */
export type RecentSet = {
	add(key: string): void;
	/** Tells whether a key was added within the retention time; up to twice that time may pass before it is forgotten. */
	has(key: string): boolean;
};

/** Options of `createRecentSet`. */
export type RecentSetOptions = {
	readonly retentionMs: number;
	/** Number of keys from which older ones are forgotten earlier. */
	readonly maxKeys: number;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
 * Creates a bounded set of recently added keys.
 *
 * @param options - see `RecentSetOptions`
 * @returns the empty set
 */
export function createRecentSet(options: RecentSetOptions): RecentSet {
	const {retentionMs, maxKeys, now} = options;
	let current = new Set<string>();
	let previous = new Set<string>();
	let startedAt = now();

	function rotate(): void {
		const ageMs = now() - startedAt;
		if (ageMs >= retentionMs || current.size >= maxKeys) {
			previous = ageMs >= 2 * retentionMs ? new Set() : current;
			current = new Set();
			startedAt = now();
		}
	}

	return {
		add(key) {
			rotate();
			current.add(key);
		},
		has(key) {
			rotate();
			return current.has(key) || previous.has(key);
		},
	};
}
