/**
 * The timer that the platform stand-in uses, so that a test may put its own in place.
 */

/**
 * Schedules actions.
 */
export type Clock = {
	/**
	 * Runs `action` once after `ms` milliseconds. Returns a function that cancels it.
	 */
	schedule(ms: number, action: () => void): () => void;
};

/**
 * The clock of the process.
 */
export const systemClock: Clock = {
	schedule(ms, action) {
		const timer = setTimeout(action, ms);
		return () => {
			clearTimeout(timer);
		};
	},
};
