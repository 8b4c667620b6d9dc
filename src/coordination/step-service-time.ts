import {readServiceTime} from './read-service-time.js';

/** Aged mean of the time that an upstream takes. */
export type ServiceTime = {
	readonly meanMs: number;
	/** When the last answer came, monotonic ms. */
	readonly at: number;
};

const sampleWeight = 0.1;

/**
 * Takes one measured time into the mean time that an upstream takes.
 *
 * @param serviceTime - the mean before, undefined before the first answer
 * @param durationMs - the measured time
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
