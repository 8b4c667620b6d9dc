import type {RunningVersion} from '../../protocol/rollout.js';
import type {ServiceVersions} from './step-running-versions.js';

/**
 * Merges the running versions that the leader is certain of with those that a node
 * knows; what the node itself is certain of is kept.
 *
 * @param known - versions of each service, as the node knows them
 * @param running - running versions of the leader
 * @returns the merged versions
 * @example
 * mergeRunningVersions(new Map(), []).size; // 0
 */
export function mergeRunningVersions(
	known: ReadonlyMap<string, ServiceVersions>,
	running: readonly RunningVersion[],
): ReadonlyMap<string, ServiceVersions> {
	const merged = new Map(known);
	for (const {service, version} of running) {
		const own = merged.get(service);
		if (own && !own.isCertain) {
			merged.set(service, {...own, running: version, isCertain: true});
		}
	}

	return merged;
}
