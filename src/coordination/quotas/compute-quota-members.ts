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
	/** When each suspect node became suspect, monotonic ms. */
	readonly suspectedAt: ReadonlyMap<string, number>;
};

/** Time for which a dead node counts as a holder of a share, ms; it may be alive behind a cut. For nodes that reach no majority it counts until it is forgotten. */
const deadHolderMs = 15_000;

/** Time for which a suspect node stays a home, ms. The records of all nodes spread within a second; one that has not refuted the suspicion by then is dead, suspended or cut off, and counts as dead only after some seconds. */
const suspectHomeMs = 1500;

/** Lists the dead nodes that the members no longer list, but that still count as holders. */
function listForgotten(
	before: QuotaMembers | undefined,
	present: ReadonlySet<string>,
	now: number,
): ReadonlyArray<readonly [string, number]> {
	return [...(before?.diedAt ?? [])].filter(
		([name, at]) => !present.has(name) && now - at < deadHolderMs,
	);
}

/**
 * Computes what the quotas need of the members. A suspect node counts as
 * unreachable, since it may be behind a cut; it stays a home for as long as it may
 * still tell the others that it is alive.
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
	const suspectedAt = new Map<string, number>();
	const present = new Set([self.name]);
	let reachable = 1;
	let cut = 0;
	for (const {name, address, dataCentre, state} of members) {
		if (name === self.name) {
			continue;
		}

		present.add(name);
		switch (state) {
			case 'alive': {
				if (unreachable?.has(dataCentre)) {
					cut++;
					break;
				}

				live.set(name, address);
				reachable++;
				break;
			}

			case 'suspect': {
				cut++;
				const at = before?.suspectedAt.get(name) ?? now;
				suspectedAt.set(name, at);
				if (!unreachable?.has(dataCentre) && now - at < suspectHomeMs) {
					live.set(name, address);
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

	for (const [name, at] of listForgotten(before, present, now)) {
		diedAt.set(name, at);
	}

	const dead = [...diedAt.values()].filter((at) => now - at < deadHolderMs);
	const isMinority = reachable <= cut + diedAt.size;
	const holders = reachable + cut + (isMinority ? diedAt.size : dead.length);
	return {live, holders, share: reachable / holders, diedAt, suspectedAt};
}
