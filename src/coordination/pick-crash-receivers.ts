import {spreadFanOut} from '../protocol/constants.js';
import type {Member} from '../protocol/member.js';
import {pickRandomItems} from './_lib/members/send.js';

/** Nodes that are told of a change. */
export type CrashReceivers = {
	/** Nodes of the own data centre. */
	readonly near: readonly Member[];
	/** One node of each other data centre. */
	readonly far: readonly Member[];
};

/**
 * Picks the nodes that are told of changed crash records, at random.
 *
 * Load pattern: many nodes learn of the same crash within milliseconds; each
 * tells few others, so that the cost of a node does not grow with the fleet.
 *
 * @param others - the other live members
 * @param dataCentre - the own data centre
 * @param random - source of random numbers from 0 up to 1
 * @returns the nodes
 * @example
 * pickCrashReceivers([], 'abdali', Math.random).near; // []
 */
export function pickCrashReceivers(
	others: readonly Member[],
	dataCentre: string,
	random: () => number,
): CrashReceivers {
	const near = others.filter((member) => member.dataCentre === dataCentre);
	const remote = others.filter((member) => member.dataCentre !== dataCentre);
	const shuffled = pickRandomItems(remote, remote.length, random);
	const far = new Map(shuffled.map((member) => [member.dataCentre, member]));
	return {
		near: pickRandomItems(near, spreadFanOut, random),
		far: [...far.values()],
	};
}
