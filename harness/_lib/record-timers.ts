import {maxTimerMs} from '../../src/protocol/constants.js';

type TimerFunction = (
	callback: (...values: unknown[]) => void,
	delayMs?: number,
	...values: unknown[]
) => NodeJS.Timeout;

/**
 * Records the timers that this process starts, and keeps them from firing, so
 * that their number depends on what the code does and not on how long it takes.
 * Timers of `node:timers/promises` and of Node itself are not recorded.
 *
 * @param onTimer - called with each timer that is started
 * @returns a function that ends the recording
 */
export function recordTimers(onTimer: () => void): () => void {
	const {setTimeout: startTimeout, setInterval: startInterval} = globalThis;
	const record: TimerFunction = (callback, _delayMs, ...values) => {
		onTimer();
		return startTimeout(callback, maxTimerMs, ...values).unref();
	};

	Object.assign(globalThis, {setTimeout: record, setInterval: record});
	return () => {
		Object.assign(globalThis, {
			setTimeout: startTimeout,
			setInterval: startInterval,
		});
	};
}
