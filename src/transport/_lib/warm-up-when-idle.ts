import {runWarmUp, type WarmUpOptions} from '../run-warm-up.js';
import {waitMs} from './wait-ms.js';

/** Options of `warmUpWhenIdle`. */
export type WarmUpWhenIdleOptions = WarmUpOptions & {
	/** Time between looks at whether the node is idle, ms. */
	readonly pollMs: number;
};

/** Time within which a node that has started must be idle to be warmed up, ms. */
const maxWaitMs = 5000;

/**
 * Warms a node up as soon as it is idle, if it soon is.
 *
 * @param options - see `WarmUpWhenIdleOptions`
 */
export async function warmUpWhenIdle(
	options: WarmUpWhenIdleOptions,
): Promise<void> {
	const {logger, isIdle, pollMs} = options;
	for (let waitedMs = 0; !isIdle(); waitedMs += pollMs) {
		if (waitedMs >= maxWaitMs) {
			return;
		}

		await waitMs(pollMs);
	}

	const startedAt = performance.now();
	try {
		const requests = await runWarmUp(options);
		const durationMs = Math.round(performance.now() - startedAt);
		logger.info('node warmed up', {requests, durationMs});
	} catch (error) {
		logger.warn('node not warmed up', {error: String(error)});
	}
}
