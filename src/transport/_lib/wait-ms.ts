import {setTimeout as delay} from 'node:timers/promises';

/**
 * Waits for a time, or until a signal aborts.
 *
 * @param duration - how long to wait, ms
 * @param signal - ends the wait early when aborted
 */
export async function waitMs(
	duration: number,
	signal?: AbortSignal,
): Promise<void> {
	try {
		await delay(duration, undefined, {signal});
	} catch {
		// The signal aborted the wait.
	}
}
