/** Measures how late the event loop runs. */
export type LagMeter = {
	/** Reads the recent lag, ms. */
	read(): number;
	stop(): void;
};

/** Time between measurements while the lag is read, ms; below the least lag that refuses a request. */
const periodMs = 25;

/** The same while nobody reads it, ms: wakes as rarely as the document task does. */
const restPeriodMs = 100;

/** Part of a lag that is still counted a period later. */
const keptPart = 0.7;

/**
 * Starts to measure how late timers fire.
 *
 * Answers the load of a fleet at rest: a node that wakes every few milliseconds
 * only to measure itself spends more on that than on its other tasks. While
 * nobody reads the lag it is measured rarely, but never not at all, so that the
 * first request after a pause finds a node late that is.
 *
 * @param now - monotonic ms
 * @returns the meter
 */
export function createLagMeter(now: () => number): LagMeter {
	let currentMs = periodMs;
	let isRead = false;
	let isStopped = false;
	let lastAt = now();
	let lagMs = 0;
	let timer = setTimeout(measure, currentMs);

	function plan(nextMs: number): void {
		currentMs = nextMs;
		lastAt = now();
		timer = setTimeout(measure, currentMs);
	}

	function measure(): void {
		const kept = keptPart ** (currentMs / periodMs);
		lagMs = Math.max(now() - lastAt - currentMs, lagMs * kept);
		const nextMs = isRead ? periodMs : restPeriodMs;
		isRead = false;
		plan(nextMs);
	}

	return {
		read() {
			isRead = true;
			const readMs = Math.max(lagMs, now() - lastAt - currentMs);
			if (currentMs > periodMs && !isStopped) {
				clearTimeout(timer);
				lagMs = readMs;
				plan(periodMs);
			}

			return readMs;
		},
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
