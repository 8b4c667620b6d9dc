/**
 * An in-memory store of versioned objects with one global revision counter and a bounded history.
 */

/**
 * An object as stored. A change that removed the object has the value null.
 */
export type StoredObject = {
	readonly key: string;
	readonly version: number;
	readonly value: unknown;
	/** Written apart from the value; a write of the value keeps it. */
	readonly status?: unknown;
};

/**
 * The outcome of a conditional write. `version` is the new one, or on a conflict the present one (0 if absent).
 */
export type WriteOutcome = {readonly done: boolean; readonly version: number};

/**
 * One page of a listing.
 */
export type ObjectPage = {
	readonly items: StoredObject[];
	readonly revision: number;
	readonly more: boolean;
};

const keptChanges = 10_000;

/**
 * Holds the objects. Each change takes the next revision as the version of its object.
 */
export class ObjectStore {
	#revision = 0;
	#sortedKeys: string[] | undefined;
	#history: StoredObject[] = [];
	readonly #objects = new Map<string, StoredObject>();
	readonly #listeners = new Set<(change: StoredObject) => void>();

	/**
	 * The revision of the last change.
	 */
	get revision(): number {
		return this.#revision;
	}

	/**
	 * Returns the object under a key, if any.
	 */
	get(key: string): StoredObject | undefined {
		return this.#objects.get(key);
	}

	/**
	 * Writes a value if the present version is `expected`, where 0 means absent.
	 */
	write(
		key: string,
		expected: number,
		value: unknown,
		status: unknown = this.get(key)?.status,
	): WriteOutcome {
		const version = this.get(key)?.version ?? 0;
		if (version !== expected) {
			return {done: false, version};
		}

		const change = this.#makeChange(key, value, status);
		if (version === 0) {
			this.#sortedKeys = undefined;
		}

		this.#objects.set(key, change);
		this.#publish(change);
		return {done: true, version: change.version};
	}

	/**
	 * Removes an object if its present version is `expected`.
	 */
	remove(key: string, expected: number): WriteOutcome {
		const version = this.get(key)?.version ?? 0;
		if (version === 0 || version !== expected) {
			return {done: false, version};
		}

		// The wire format marks a removal with a JSON null.
		const change = this.#makeChange(key, null);
		this.#sortedKeys = undefined;
		this.#objects.delete(key);
		this.#publish(change);
		return {done: true, version: change.version};
	}

	/**
	 * Lists objects by key, starting behind `after`.
	 */
	list(prefix: string, after: string, limit: number): ObjectPage {
		this.#sortedKeys ??= [...this.#objects.keys()].toSorted(compareKeys);
		const keys = this.#sortedKeys.filter(
			(key) => key.startsWith(prefix) && key > after,
		);
		return {
			items: keys.slice(0, limit).map((key) => this.#objects.get(key)!),
			revision: this.#revision,
			more: keys.length > limit,
		};
	}

	/**
	 * Returns the changes under a prefix after a revision, or undefined if the history does not contain it.
	 */
	readChanges(prefix: string, after: number): StoredObject[] | undefined {
		const oldest = Math.max(0, this.#revision - keptChanges);
		if (after < oldest || after > this.#revision) {
			return undefined;
		}

		const skipped = after - (this.#revision - this.#history.length);
		return this.#history
			.slice(Math.max(0, skipped))
			.filter((change) => change.key.startsWith(prefix));
	}

	/**
	 * Calls `listener` on each change. Returns a function that ends this.
	 */
	subscribe(listener: (change: StoredObject) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/**
	 * Returns a copy of the objects, their revision and history.
	 */
	copy(): ObjectStore {
		const copy = new ObjectStore();
		copy.restore(this);
		return copy;
	}

	/**
	 * Goes back to a copy; revisions since then are given out again. Listeners are kept.
	 */
	restore(copy: ObjectStore): void {
		this.#revision = copy.#revision;
		this.#history = [...copy.#history];
		this.#sortedKeys = undefined;
		this.#objects.clear();
		for (const [key, object] of copy.#objects) {
			this.#objects.set(key, object);
		}
	}

	#makeChange(key: string, value: unknown, status?: unknown): StoredObject {
		this.#revision++;
		return {key, version: this.#revision, value, status};
	}

	#publish(change: StoredObject): void {
		this.#history.push(change);
		if (this.#history.length >= 2 * keptChanges) {
			this.#history = this.#history.slice(-keptChanges);
		}

		for (const listener of this.#listeners) {
			listener(change);
		}
	}
}

function compareKeys(a: string, b: string): number {
	return a < b ? -1 : 1;
}
