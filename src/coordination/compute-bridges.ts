import {
	bridgesPerDataCentre,
	referenceCapacity,
} from '../protocol/constants.js';
import type {Member} from '../protocol/member.js';
import {computeHash} from '../state/_lib/compute-hash.js';

const hashRange = 2 ** 32;

/**
 * Computes a member's score; its chance of the highest score is proportional to
 * its capacity.
 */
function computeScore({name, capacity = referenceCapacity}: Member): number {
	const uniform = (computeHash(`bridge ${name}`) + 0.5) / hashRange;
	return capacity / -Math.log(uniform);
}

/**
 * Computes the bridges of a data centre by weighted rendezvous hashing
 * (Schindelhauer and Schomaker, 2005): the members through which it exchanges
 * records with other data centres.
 *
 * Nodes whose views differ may compute different bridges, which only costs a few
 * more messages.
 *
 * @param members - live members of one data centre
 * @returns the bridges, highest score first
 * @example
 * computeBridges([]); // []
 */
export function computeBridges(members: readonly Member[]): readonly Member[] {
	let bridges: Array<{readonly member: Member; readonly score: number}> = [];
	for (const member of members) {
		const score = computeScore(member);
		const lowest = bridges.at(-1)?.score ?? 0;
		if (bridges.length < bridgesPerDataCentre || score > lowest) {
			bridges = [...bridges, {member, score}]
				.toSorted((a, b) => b.score - a.score)
				.slice(0, bridgesPerDataCentre);
		}
	}

	return bridges.map(({member}) => member);
}
