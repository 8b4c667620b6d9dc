/** Measures the event loop lag. */
export type LagMeter = {
	/** Returns the recent lag, ms. */
	read(): number;
	/**
	 * Returns the longest time for which data that is being read may have waited in
	 * a socket, ms: what arrived during the last turn of the event loop waits for its
	 * end, and then for what the current turn reads first.
	 */
	readMaxWait(): number;
	stop(): void;
};

/** Measurement interval while the lag is being read, ms; shorter than the smallest lag at which a request is refused. */
const periodMs = 25;

/** Measurement interval while the lag is not read, ms; the process wakes no more often than for the document task. */
const idlePeriodMs = 100;

/** Fraction of a measured lag that still counts one `periodMs` later. */
const decayFactor = 0.7;

/**
 * Starts measuring by how much timers fire late.
 *
 * Load pattern: an idle fleet. A node that wakes every few milliseconds only to
 * measure its lag spends more time on that than on its other tasks, so the lag
 * is measured less often while it is not read. Measuring never stops entirely,
 * so that the first request after a pause still sees an existing lag.
 *
 * @param now - monotonic ms
 * @returns the meter
 */
export function createLagMeter(now: () => number): LagMeter {
	let currentMs = periodMs;
	let wasRead = false;
	let isStopped = false;
	let lastAt = now();
	let lagMs = 0;
	/** Lag of the last interval alone, ms. */
	let lastLagMs = 0;
	let timer = setTimeout(measure, currentMs);

	function schedule(nextMs: number): void {
		currentMs = nextMs;
		lastAt = now();
		timer = setTimeout(measure, currentMs);
	}

	/** Computes by how much the current interval has exceeded its length, ms. */
	function computeExcess(): number {
		return Math.max(0, now() - lastAt - currentMs);
	}

	function measure(): void {
		const kept = decayFactor ** (currentMs / periodMs);
		lastLagMs = computeExcess();
		lagMs = Math.max(lastLagMs, lagMs * kept);
		const nextMs = wasRead ? periodMs : idlePeriodMs;
		wasRead = false;
		schedule(nextMs);
	}

	return {
		read() {
			wasRead = true;
			const excessMs = computeExcess();
			const readMs = Math.max(lagMs, excessMs);
			if (currentMs > periodMs && !isStopped) {
				clearTimeout(timer);
				lagMs = readMs;
				lastLagMs += excessMs;
				schedule(periodMs);
			}

			return readMs;
		},
		readMaxWait: () => lastLagMs + computeExcess(),
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
