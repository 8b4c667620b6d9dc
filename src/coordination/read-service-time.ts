import type {ServiceTime} from './step-service-time.js';

const halfLifeMs = 2000;

/**
 * Reads the mean time that an upstream takes; it halves while no answers come,
 * so that a slow past does not refuse work for ever.
 *
 * @param serviceTime - the mean, undefined before the first answer
 * @param now - monotonic ms
 * @returns the aged mean in ms
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
