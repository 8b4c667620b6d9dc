import {maxTimerMs} from '../../protocol/constants.js';

/**
 * Computes the delay of a timer that is set from a time of others, such as the
 * deadline of a client. Node.js runs a timer with a delay above `maxTimerMs` at
 * once.
 *
 * @param delayMs - the time to wait, ms; may be infinite
 * @returns a delay that a timer keeps, ms
 * @example
 * setTimeout(expire, computeTimerDelay(Infinity)); // Waits for 24 days.
 */
export function computeTimerDelay(delayMs: number): number {
	return Math.min(delayMs, maxTimerMs);
}
