import type {CancelSignal} from '../../protocol/cancel-signal.js';

/**
 * Waits for a result until a time has passed or a signal aborts.
 *
 * @param result - what is waited for; does not reject
 * @param durationMs - longest wait
 * @param signal - ends the wait early when aborted
 * @returns the result, or undefined when the wait ended first
 */
export async function raceResult<T>(
	result: Promise<T>,
	durationMs: number,
	signal: CancelSignal,
): Promise<T | undefined> {
	return new Promise((resolve) => {
		const end = (value: T | undefined): void => {
			clearTimeout(timer);
			signal.removeEventListener('abort', giveUp);
			resolve(value);
		};

		const giveUp = (): void => {
			end(undefined);
		};

		const timer = setTimeout(giveUp, durationMs);
		signal.addEventListener('abort', giveUp);
		void result.then(end);
	});
}
