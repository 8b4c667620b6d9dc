/** Connections that were accepted in turns of the event loop without a gap. */
export type AcceptedBatch = {
	readonly count: number;
	/** Longest time that the last of them may have waited to be accepted, ms; the lag of the event loop comes before it. */
	readonly waitMs: number;
};

/** Options of `createAcceptMeter`. */
export type AcceptMeterOptions = {
	/** Monotonic ms. */
	readonly now: () => number;
	/** Called when no connection waits any more. */
	readonly onBatch: (batch: AcceptedBatch) => void;
};

/** Measures how long connections wait to be accepted. */
export type AcceptMeter = {
	/** Notes that a connection has been accepted. */
	note(): void;
};

/**
 * Creates the meter of a server's queue of new connections.
 *
 * Node accepts one connection of a server in each turn of its event loop, so
 * that a queue of them can be long while the loop itself is hardly late. The
 * queue is known to be empty after a turn in which none was accepted.
 *
 * @param options - see `AcceptMeterOptions`
 * @returns the meter
 */
export function createAcceptMeter({
	now,
	onBatch,
}: AcceptMeterOptions): AcceptMeter {
	let firstAt = 0;
	let lastAt = 0;
	let count = 0;
	let isQueueEmpty = true;

	function checkTurn(): void {
		if (isQueueEmpty) {
			const batch = {count, waitMs: lastAt - firstAt};
			count = 0;
			onBatch(batch);
			return;
		}

		isQueueEmpty = true;
		setImmediate(checkTurn);
	}

	return {
		note() {
			lastAt = now();
			isQueueEmpty = false;
			count++;
			if (count === 1) {
				firstAt = lastAt;
				setImmediate(checkTurn);
			}
		},
	};
}
