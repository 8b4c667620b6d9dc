import type {CancelSignal} from '../../protocol/cancel-signal.js';
import {computeTimerDelay} from './compute-timer-delay.js';

/**
 * Waits for a result until a time-out or until a signal is aborted.
 *
 * @param result - promise to wait for; must not reject
 * @param durationMs - maximum wait, ms
 * @param signal - ends the wait when aborted
 * @returns the result, or undefined if the wait ended first
 */
export async function raceResult<T>(
	result: Promise<T>,
	durationMs: number,
	signal: CancelSignal,
): Promise<T | undefined> {
	return new Promise((resolve) => {
		const end = (value: T | undefined): void => {
			clearTimeout(timer);
			signal.removeEventListener('abort', stopWaiting);
			resolve(value);
		};

		const stopWaiting = (): void => {
			end(undefined);
		};

		const timer = setTimeout(stopWaiting, computeTimerDelay(durationMs));
		signal.addEventListener('abort', stopWaiting);
		void result.then(end);
	});
}
