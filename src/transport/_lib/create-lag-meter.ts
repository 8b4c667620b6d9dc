/** Measures how late the event loop runs. */
export type LagMeter = {
	/** Reads the recent lag, ms. */
	read(): number;
	stop(): void;
};

/** Time between measurements, ms. */
const periodMs = 25;

/** Part of a lag that is still counted a period later. */
const keptPart = 0.7;

/**
 * Starts to measure how late timers fire.
 *
 * @param now - monotonic ms
 * @returns the meter
 */
export function createLagMeter(now: () => number): LagMeter {
	let lastAt = now();
	let lagMs = 0;
	const timer = setInterval(() => {
		const at = now();
		lagMs = Math.max(at - lastAt - periodMs, lagMs * keptPart);
		lastAt = at;
	}, periodMs);
	return {
		read: () => Math.max(lagMs, now() - lastAt - periodMs),
		stop() {
			clearInterval(timer);
		},
	};
}
