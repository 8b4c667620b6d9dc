/** Tags of a metric. */
export type Tags = Readonly<Record<string, string>>;

/** A counter's value since it was last taken. */
export type CounterValue<Name extends string> = {
	readonly name: Name;
	readonly value: number;
	readonly tags: Tags;
};

/** Counters that are added up in memory until they are taken. */
export type Counters<Name extends string> = {
	add(name: Name, value: number, tags: Tags): void;
	/** Returns every counter that has changed and starts again from 0. */
	take(): ReadonlyArray<CounterValue<Name>>;
};

/**
 * Creates counters, one for each name and combination of tags.
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
