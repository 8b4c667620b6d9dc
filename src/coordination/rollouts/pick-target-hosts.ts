import type {Candidate} from '../../protocol/member.js';
import {computeWeight} from '../_lib/compute-weight.js';

/**
 * Picks the hosts of a target version that get requests. All nodes pick the same
 * ones, so that a canary loads a few hosts as much as all traffic would load each.
 *
 * @param hosts - hosts of the version
 * @param count - number of hosts; all when absent
 * @returns the hosts
 * @example
 * pickTargetHosts(hosts, 2).length; // 2
 */
export function pickTargetHosts(
	hosts: readonly Candidate[],
	count = hosts.length,
): readonly Candidate[] {
	return count >= hosts.length
		? hosts
		: hosts
				.map((candidate) => ({
					candidate,
					weight: computeWeight(candidate.host, 'canary'),
				}))
				.toSorted((a, b) => (a.weight < b.weight ? -1 : 1))
				.slice(0, count)
				.map(({candidate}) => candidate);
}
