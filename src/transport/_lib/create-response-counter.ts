import {computeTimeBucket} from '../../coordination/rollouts/compute-time-bucket.js';
import {timeBuckets, type VersionCount} from '../../protocol/rollout.js';

/** A response of an upstream on this host. */
export type CountedResponse = Pick<
	VersionCount,
	'service' | 'version' | 'route'
> & {
	readonly isFailed: boolean;
	/** Time at the upstream, ms. */
	readonly durationMs: number;
};

/** Counts responses by version and route, cumulatively. */
export type ResponseCounter = {
	record(response: CountedResponse): void;
	list(): readonly VersionCount[];
};

type Count = Omit<VersionCount, 'responses' | 'failures' | 'times'> & {
	responses: number;
	failures: number;
	readonly times: number[];
};

/** Number of routes and versions that are counted; more than any document has. */
const maxCounts = 256;

/**
 * Creates a counter of responses.
 *
 * @returns the counter
 */
export function createResponseCounter(): ResponseCounter {
	const counts = new Map<string, Count>();
	return {
		record({service, version, route, isFailed, durationMs}) {
			const key = JSON.stringify([service, version, route]);
			let count = counts.get(key);
			if (!count) {
				if (counts.size >= maxCounts) {
					return;
				}

				const times = Array.from({length: timeBuckets}, () => 0);
				count = {service, version, route, responses: 0, failures: 0, times};
				counts.set(key, count);
			}

			count.responses++;
			count.failures += isFailed ? 1 : 0;
			count.times[computeTimeBucket(durationMs)]!++;
		},
		list: () => [...counts.values()],
	};
}
