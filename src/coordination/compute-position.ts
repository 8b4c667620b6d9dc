import {
	maxTreeFanOut,
	rootsPerDataCentre,
	treeFanOut,
	referenceCapacity,
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
	const capacities = ordered.map(({capacity = referenceCapacity}) => capacity);
	const median =
		capacities[Math.floor(capacities.length / 2)] ?? referenceCapacity;
	return capacities.map((capacity) => {
		const fanOut = Math.floor((usualFanOut * capacity) / median);
		return Math.min(maxTreeFanOut, Math.max(1, fanOut));
	});
}

/**
 * Computes the index of a member's parent. A level holds as many members as the
 * level above may have children; the members of the last level are distributed
 * over all parents in proportion to their fan-out.
 */
function computeParentIndex(fanOuts: readonly number[], index: number): number {
	let start = 0;
	let end = rootsPerDataCentre;
	for (;;) {
		const parents = fanOuts.slice(start, end);
		const totalFanOut = parents.reduce((sum, fanOut) => sum + fanOut, 0);
		const children = Math.min(totalFanOut, fanOuts.length - end);
		const childIndex = index - end;
		if (childIndex < children) {
			let cumulative = 0;
			const offset = parents.findIndex((fanOut) => {
				cumulative += fanOut;
				return childIndex < Math.round((children * cumulative) / totalFanOut);
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
 * Live members are ordered by capacity and rendezvous weight; the first few are
 * roots, and each later member has a parent at a lower index. The number of
 * children of a parent depends on its capacity, so that documents are not
 * forwarded over low-bandwidth links of a data centre that has faster ones.
 * Nodes with different membership views may compute different trees, which
 * costs traffic but does not affect correctness.
 *
 * @param members - known members, in any order
 * @param self - the node whose position is computed
 * @param fanOut - maximum number of children of a node of median capacity
 * @returns the root position, or the child position with its parents in order of preference
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
