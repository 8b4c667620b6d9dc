import type {MembersView} from '../../protocol/member.js';

/** What the quotas need of the members. */
export type QuotaMembers = {
	/** Nodes that can be quota homes, with their addresses. */
	readonly live: ReadonlyMap<string, string>;
	/** Number of nodes among which the rate is divided. */
	readonly holders: number;
	/** Share of them that this node can reach, from 0 to 1. */
	readonly share: number;
	/** When each node that counts as a holder has died, monotonic ms. */
	readonly diedAt: ReadonlyMap<string, number>;
};

/** Time for which a dead node counts as a holder of a share, ms; it may be alive behind a cut. For nodes that reach no majority it counts until it is forgotten. */
const deadHolderMs = 15_000;

/**
 * Computes what the quotas need of the members. A suspect node can be a home,
 * but counts as unreachable, since it may be behind a cut.
 *
 * @param before - the result for the view before, undefined when there is none
 * @param view - the view of the members
 * @param now - monotonic ms
 * @returns the members of the quotas
 * @example
 * computeQuotaMembers(undefined, view, 0).share; // 1 when all members are alive
 */
export function computeQuotaMembers(
	before: QuotaMembers | undefined,
	{self, members, unreachable}: MembersView,
	now: number,
): QuotaMembers {
	const live = new Map([[self.name, self.address]]);
	const diedAt = new Map<string, number>();
	const present = new Set([self.name]);
	let reachable = 1;
	let cut = 0;
	for (const {name, address, dataCentre, state} of members) {
		if (name === self.name) {
			continue;
		}

		present.add(name);
		switch (state) {
			case 'alive':
			case 'suspect': {
				if (unreachable?.has(dataCentre)) {
					cut++;
					break;
				}

				live.set(name, address);
				if (state === 'alive') {
					reachable++;
				} else {
					cut++;
				}

				break;
			}

			case 'dead': {
				const at = before?.diedAt.get(name) ?? now;
				diedAt.set(name, at);
				break;
			}

			case 'left': {
				break;
			}
		}
	}

	for (const [name, at] of before?.diedAt ?? []) {
		if (!present.has(name) && now - at < deadHolderMs) {
			diedAt.set(name, at);
		}
	}

	const dead = [...diedAt.values()].filter((at) => now - at < deadHolderMs);
	const isMinority = reachable <= cut + diedAt.size;
	const holders = reachable + cut + (isMinority ? diedAt.size : dead.length);
	return {live, holders, share: reachable / holders, diedAt};
}
