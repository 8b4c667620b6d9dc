import {computeTimerDelay} from './compute-timer-delay.js';

/** A timer that has been started. */
export type PostPollTimer = {
	/** Restarts the timer with its full delay. */
	refresh(): void;
	stop(): void;
};

/**
 * Starts a timer that fires after the poll phase that follows its expiry, when
 * the sockets have been read.
 *
 * When the event loop lags, an ordinary timer fires before data that has arrived
 * meanwhile is read, so that a response which is already there would count as
 * missing.
 *
 * @param callback - called once, unless the timer is stopped before
 * @param delayMs - delay, ms; see `computeTimerDelay`
 * @returns the running timer
 * @example
 * startPostPollTimer(() => socket.destroy(), 250).stop();
 */
export function startPostPollTimer(
	callback: () => void,
	delayMs: number,
): PostPollTimer {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		immediate = setImmediate(callback);
	}, computeTimerDelay(delayMs));

	return {
		refresh() {
			clearImmediate(immediate);
			timer.refresh();
		},
		stop() {
			clearImmediate(immediate);
			clearTimeout(timer);
		},
	};
}
