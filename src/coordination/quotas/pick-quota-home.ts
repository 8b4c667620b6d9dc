import {computeRendezvousWeight} from '../_lib/compute-rendezvous-weight.js';

/**
 * Picks the quota home of a tenant among the live nodes, by rendezvous hashing
 * (Thaler and Ravishankar, 1998). When the members change, few tenants change
 * their home. The result should be kept for as long as the names are the same.
 *
 * @param names - names of the live nodes
 * @param tenant - name of the tenant
 * @returns the name of the home, or undefined when there is no node
 * @example
 * pickQuotaHome(['abdali-1'], 'registry'); // 'abdali-1'
 */
export function pickQuotaHome(
	names: Iterable<string>,
	tenant: string,
): string | undefined {
	let best: string | undefined;
	let bestWeight = -1;
	for (const name of names) {
		const weight = computeRendezvousWeight(name, tenant);
		const isHeavier =
			weight > bestWeight ||
			(weight === bestWeight && best !== undefined && name > best);
		if (isHeavier) {
			best = name;
			bestWeight = weight;
		}
	}

	return best;
}
