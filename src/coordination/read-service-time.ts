import type {ServiceTime} from './step-service-time.js';

const halfLifeMs = 2000;

/**
 * Reads the mean service time of an upstream. It halves every two seconds
 * without answers, so that a slow period does not cause refusals indefinitely.
 *
 * @param serviceTime - the mean, undefined before the first answer
 * @param now - monotonic ms
 * @returns the decayed mean, ms
 * @example
 * readServiceTime(undefined, 0); // 0
 */
export function readServiceTime(
	serviceTime: ServiceTime | undefined,
	now: number,
): number {
	return serviceTime
		? serviceTime.meanMs * 2 ** ((serviceTime.at - now) / halfLifeMs)
		: 0;
}
