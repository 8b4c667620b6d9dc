import type {RunningVersion} from '../../protocol/rollout.js';
import type {ServiceVersions} from './step-running-versions.js';

/**
 * Lists the running versions as they are told to other nodes.
 *
 * @param versions - state of `stepRunningVersions`
 * @param now - monotonic ms
 * @returns the running version of each service that has one
 * @example
 * listRunningVersions(new Map(), 0); // []
 */
export function listRunningVersions(
	versions: ReadonlyMap<string, ServiceVersions>,
	now: number,
): readonly RunningVersion[] {
	return [...versions].flatMap(([service, {running}]) => {
		if (!running) {
			return [];
		}

		const {version, basis, since} = running;
		const ageMs = Math.max(0, Math.round(now - since));
		return [{service, version, basis, ageMs}];
	});
}
