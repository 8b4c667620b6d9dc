import {readServiceTime} from './read-service-time.js';

/** Decaying mean service time of an upstream. */
export type ServiceTime = {
	readonly meanMs: number;
	/** Time of the last answer, monotonic ms. */
	readonly at: number;
};

const sampleWeight = 0.1;

/**
 * Updates the mean service time of an upstream with a measured time.
 *
 * @param serviceTime - the mean before, undefined before the first answer
 * @param durationMs - the measured time, ms
 * @param now - monotonic ms
 * @returns the mean after
 * @example
 * stepServiceTime(undefined, 2, 0).meanMs; // 2
 */
export function stepServiceTime(
	serviceTime: ServiceTime | undefined,
	durationMs: number,
	now: number,
): ServiceTime {
	const before = serviceTime ? readServiceTime(serviceTime, now) : durationMs;
	return {meanMs: before + sampleWeight * (durationMs - before), at: now};
}
