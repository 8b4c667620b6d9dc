/** A timer that has been started. */
export type PostPollTimer = {
	/** Starts it again from the present. */
	refresh(): void;
	stop(): void;
};

/**
 * Starts a timer that fires once the sockets have been read after its time.
 *
 * Answers the load of a node whose event loop runs late: its timers fire before
 * what has come in meanwhile is read, so that an answer which is already there
 * would be taken as missing.
 *
 * @param callback - called once, unless the timer is stopped before
 * @param delayMs - time until then, ms
 * @returns the running timer
 * @example
 * startPolledTimer(() => socket.destroy(), 250).stop();
 */
export function startPostPollTimer(
	callback: () => void,
	delayMs: number,
): PostPollTimer {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		immediate = setImmediate(callback);
	}, delayMs);

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
