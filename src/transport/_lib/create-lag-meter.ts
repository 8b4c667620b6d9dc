/** Measures the event loop lag. */
export type LagMeter = {
	/** Returns the recent lag, ms. */
	read(): number;
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
	let timer = setTimeout(measure, currentMs);

	function schedule(nextMs: number): void {
		currentMs = nextMs;
		lastAt = now();
		timer = setTimeout(measure, currentMs);
	}

	function measure(): void {
		const kept = decayFactor ** (currentMs / periodMs);
		lagMs = Math.max(now() - lastAt - currentMs, lagMs * kept);
		const nextMs = wasRead ? periodMs : idlePeriodMs;
		wasRead = false;
		schedule(nextMs);
	}

	return {
		read() {
			wasRead = true;
			const readMs = Math.max(lagMs, now() - lastAt - currentMs);
			if (currentMs > periodMs && !isStopped) {
				clearTimeout(timer);
				lagMs = readMs;
				schedule(periodMs);
			}

			return readMs;
		},
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
