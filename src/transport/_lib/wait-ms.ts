import {setTimeout as delay} from 'node:timers/promises';
import {computeTimerDelay} from './compute-timer-delay.js';

/**
 * Waits for the given time or until the signal aborts; never rejects.
 *
 * @param durationMs - time to wait, ms
 * @param signal - ends the wait early when aborted
 */
export async function waitMs(
	durationMs: number,
	signal?: AbortSignal,
): Promise<void> {
	try {
		await delay(computeTimerDelay(durationMs), undefined, {signal});
	} catch {
		// The signal aborted the wait.
	}
}
