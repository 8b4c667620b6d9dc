import {setTimeout as delay} from 'node:timers/promises';

const pollIntervalMs = 50;

/**
 * Polls a condition until it holds or a time has passed.
 *
 * @param condition - tells whether it holds; a failure counts as not yet
 * @param timeoutMs - longest wait in ms
 * @returns whether the condition held in time
 * @example
 * await pollUntil(async () => isReady(), 5000);
 */
export async function pollUntil(
	condition: () => Promise<boolean>,
	timeoutMs: number,
): Promise<boolean> {
	const end = performance.now() + timeoutMs;
	while (performance.now() < end) {
		try {
			if (await condition()) {
				return true;
			}
		} catch {
			// Not reachable yet.
		}

		await delay(pollIntervalMs);
	}

	return false;
}
