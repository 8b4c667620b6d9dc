/** Options of `waitUntilIdle`. */
export type IdleWaitOptions = {
	/** Returns the time since the last activity, ms. */
	readonly readIdleMs: () => number;
	/** Idle time after which the wait ends, ms. */
	readonly idleThresholdMs: number;
	/** Minimum and maximum wait, ms. */
	readonly minMs: number;
	readonly maxMs: number;
};

const pollIntervalMs = 100;

/**
 * Waits until there has been no activity for a given time, within a minimum and
 * a maximum wait.
 *
 * @param options - see `IdleWaitOptions`
 */
export async function waitUntilIdle(options: IdleWaitOptions): Promise<void> {
	const {readIdleMs, idleThresholdMs, minMs, maxMs} = options;
	const startedAt = performance.now();
	await new Promise<void>((resolve) => {
		const timer = setInterval(() => {
			const elapsedMs = performance.now() - startedAt;
			const isIdle = elapsedMs >= minMs && readIdleMs() >= idleThresholdMs;
			if (isIdle || elapsedMs >= maxMs) {
				clearInterval(timer);
				resolve();
			}
		}, pollIntervalMs);
	});
}
