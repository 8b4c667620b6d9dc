import {
	stepElapsedClock,
	type ElapsedClock,
} from '../../coordination/freshness/step-elapsed-clock.js';

/** Options of `createElapsedClock`. */
export type ElapsedClockOptions = {
	/** Monotonic ms; `performance.now` when absent. */
	readonly now?: () => number;
	/** Wall-clock ms; `Date.now` when absent. */
	readonly readWallTime?: () => number;
};

/**
 * Creates a clock of elapsed time that counts suspensions of the machine. A
 * suspension is found at the next reading.
 *
 * @param options - see `ElapsedClockOptions`
 * @returns a function that returns elapsed time, ms
 */
export function createElapsedClock(
	options: ElapsedClockOptions = {},
): () => number {
	const {now = () => performance.now(), readWallTime = () => Date.now()} =
		options;
	let clock: ElapsedClock | undefined;

	function read(): number {
		// Read first, so that a suspension between the two readings counts at once.
		const monotonicMs = now();
		clock = stepElapsedClock(clock, {monotonicMs, wallMs: readWallTime()});
		return monotonicMs + clock.aheadMs;
	}

	read();
	return read;
}
