import {
	maxTreeFanOut,
	rootsPerDataCentre,
	treeFanOut,
	usualCapacity,
} from '../protocol/constants.js';
import type {Member} from '../protocol/member.js';
import {orderMembers} from './_lib/order-members.js';

/** A node's position in the delivery tree of its data centre. */
export type Position =
	| {readonly kind: 'root'; readonly rank: number; readonly first: Member}
	| {readonly kind: 'child'; readonly parents: readonly Member[]};

/** Computes how many children each member may have, given the usual number. */
function computeFanOuts(
	ordered: readonly Member[],
	usualFanOut: number,
): readonly number[] {
	const capacities = ordered.map(({capacity = usualCapacity}) => capacity);
	const median = capacities[Math.floor(capacities.length / 2)] ?? usualCapacity;
	return capacities.map((capacity) => {
		const fanOut = Math.floor((usualFanOut * capacity) / median);
		return Math.min(maxTreeFanOut, Math.max(1, fanOut));
	});
}

/**
 * Computes the place of a member's parent. A level takes as many members as
 * the one above may have children, and the last level is shared among all
 * parents, each getting its part by its fan-out.
 */
function computeParentIndex(fanOuts: readonly number[], index: number): number {
	let start = 0;
	let end = rootsPerDataCentre;
	for (;;) {
		const parents = fanOuts.slice(start, end);
		const totalFanOut = parents.reduce((sum, fanOut) => sum + fanOut, 0);
		const children = Math.min(totalFanOut, fanOuts.length - end);
		const place = index - end;
		if (place < children) {
			let cumulativeFanOut = 0;
			const offset = parents.findIndex((fanOut) => {
				cumulativeFanOut += fanOut;
				return place < Math.round((children * cumulativeFanOut) / totalFanOut);
			});
			return start + offset;
		}

		start = end;
		end += children;
	}
}

/**
 * Computes a node's position in its data centre's delivery tree.
 *
 * Live members are ordered by capacity and rendezvous weight; the first few
 * are roots and each later one has a parent at an earlier place. A parent has
 * children by its capacity, so that a document is not sent over the thin links
 * of a data centre where there are others. Nodes whose views differ may choose
 * differently, which costs traffic but not correctness.
 *
 * @param members - known members, in any order
 * @param self - the node whose position is wanted
 * @param fanOut - most children of a node of median capacity
 * @returns root, or child with its parents in order of preference
 * @example
 * computePosition([self], self).kind; // 'root'
 */
export function computePosition(
	members: readonly Member[],
	self: Member,
	fanOut = treeFanOut,
): Position {
	const ordered = orderMembers(members, self.dataCentre, self.name);
	const index = ordered.findIndex(({name}) => name === self.name);
	if (index < rootsPerDataCentre) {
		return {kind: 'root', rank: Math.max(0, index), first: ordered[0] ?? self};
	}

	const fanOuts = computeFanOuts(ordered, fanOut);
	const parentIndex = computeParentIndex(fanOuts, index);
	const parents = [ordered[parentIndex]!, ...ordered.slice(0, parentIndex)];
	return {kind: 'child', parents};
}
