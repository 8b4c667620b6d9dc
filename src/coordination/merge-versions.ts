import {maxVersionsPerRecord} from '../protocol/constants.js';
import type {Crash, VersionStatus} from './quarantine-state.js';

/**
 * Merges what two nodes know of software versions that may run a request,
 * whatever the order: an answer counts more than an announcement, and a version
 * that has crashed without an answer is left out.
 *
 * @param one - status by version
 * @param other - status by version
 * @param crashes - known crashes of upstreams that ran the request
 * @returns the merged statuses, of at most `maxVersionsPerRecord` versions
 * @example
 * mergeVersions(new Map([['v2', 'announced']]), new Map([['v2', 'answered']]), []).get('v2'); // 'answered'
 */
export function mergeVersions(
	one: ReadonlyMap<string, VersionStatus>,
	other: ReadonlyMap<string, VersionStatus>,
	crashes: Iterable<Crash>,
): ReadonlyMap<string, VersionStatus> {
	if (one.size === 0 && other.size === 0) {
		return one;
	}

	const crashed = new Set([...crashes].map(({version}) => version));
	const names = [...new Set([...one.keys(), ...other.keys()])].toSorted();
	return new Map(
		names
			.map((name): [string, VersionStatus] => [
				name,
				one.get(name) === 'answered' || other.get(name) === 'answered'
					? 'answered'
					: 'announced',
			])
			.filter(([name, status]) => status === 'answered' || !crashed.has(name))
			.slice(-maxVersionsPerRecord),
	);
}
