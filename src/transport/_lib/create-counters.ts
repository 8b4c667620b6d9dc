/** Tags of a metric. */
export type Tags = Readonly<Record<string, string>>;

/** Increase of a counter since the last `take`. */
export type CounterValue<Name extends string> = {
	readonly name: Name;
	readonly value: number;
	readonly tags: Tags;
};

/** Counters that are aggregated in memory until the next `take`. */
export type Counters<Name extends string> = {
	add(name: Name, value: number, tags: Tags): void;
	/** Returns every counter that has changed, and resets all to 0. */
	take(): ReadonlyArray<CounterValue<Name>>;
};

/**
 * Creates counters, one for each combination of name and tags.
 *
 * @returns the counters
 */
export function createCounters<Name extends string>(): Counters<Name> {
	let values = new Map<string, CounterValue<Name>>();
	return {
		add(name, value, tags) {
			const key = `${name}\n${Object.values(tags).join('\n')}`;
			const known = values.get(key);
			values.set(key, {name, tags, value: (known?.value ?? 0) + value});
		},
		take() {
			const taken = [...values.values()];
			values = new Map();
			return taken;
		},
	};
}
