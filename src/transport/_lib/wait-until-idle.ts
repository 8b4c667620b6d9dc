/** Options of `waitUntilQuiet`. */
export type IdleWaitOptions = {
	/** Time since the last activity, ms. */
	readonly readIdleMs: () => number;
	/** Idle time that counts as quiet, ms. */
	readonly idleThresholdMs: number;
	/** Least and longest wait, ms. */
	readonly minMs: number;
	readonly maxMs: number;
};

const intervalMs = 100;

/**
 * Waits until nothing has happened for a time, between two bounds.
 *
 * @param options - see `QuietOptions`
 */
export async function waitUntilIdle(options: IdleWaitOptions): Promise<void> {
	const {readIdleMs, idleThresholdMs, minMs, maxMs} = options;
	const startedAt = performance.now();
	await new Promise<void>((resolve) => {
		const timer = setInterval(() => {
			const elapsedMs = performance.now() - startedAt;
			const isQuiet = elapsedMs >= minMs && readIdleMs() >= idleThresholdMs;
			if (isQuiet || elapsedMs >= maxMs) {
				clearInterval(timer);
				resolve();
			}
		}, intervalMs);
	});
}
