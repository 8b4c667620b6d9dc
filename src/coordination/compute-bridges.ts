import {bridgesPerDataCentre} from '../protocol/constants.js';
import type {Member} from '../protocol/member.js';
import {computeHash} from '../state/_lib/compute-hash.js';

/**
 * Computes the bridges of a data centre by rendezvous hashing: the members
 * through which it exchanges records with other data centres.
 *
 * Nodes whose views differ may compute different bridges, which costs a few
 * messages more and nothing else.
 *
 * @param members - live members of one data centre
 * @returns the bridges, highest weight first
 * @example
 * computeBridges([]); // []
 */
export function computeBridges(members: readonly Member[]): readonly Member[] {
	let bridges: Array<{readonly member: Member; readonly weight: number}> = [];
	for (const member of members) {
		const weight = computeHash(`bridge ${member.name}`);
		const lowest = bridges.at(-1)?.weight ?? 0;
		if (bridges.length < bridgesPerDataCentre || weight > lowest) {
			bridges = [...bridges, {member, weight}]
				.toSorted((a, b) => b.weight - a.weight)
				.slice(0, bridgesPerDataCentre);
		}
	}

	return bridges.map(({member}) => member);
}
