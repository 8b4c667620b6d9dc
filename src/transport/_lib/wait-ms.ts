import {setTimeout as delay} from 'node:timers/promises';

/**
 * Waits for a time, or until a signal aborts.
 *
 * @param durationMs - how long to wait, ms
 * @param signal - ends the wait early when aborted
 */
export async function waitMs(
	durationMs: number,
	signal?: AbortSignal,
): Promise<void> {
	try {
		await delay(durationMs, undefined, {signal});
	} catch {
		// The signal aborted the wait.
	}
}
