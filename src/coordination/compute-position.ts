import {rootsPerDataCentre, treeFanOut} from '../protocol/constants.js';
import type {Member} from '../protocol/member.js';
import {orderMembers} from './_lib/order-members.js';

/** A node's position in the delivery tree of its data centre. */
export type Position =
	| {readonly kind: 'root'; readonly rank: number; readonly first: Member}
	| {readonly kind: 'child'; readonly parents: readonly Member[]};

/**
 * Computes a node's position in its data centre's delivery tree.
 *
 * Live members are ordered by rendezvous weight; the first few are roots and
 * each later one has a parent at a fixed earlier place. Nodes whose views
 * differ may choose differently, which costs traffic but not correctness.
 *
 * @param members - known members, in any order
 * @param self - the node whose position is wanted
 * @param fanOut - most children of a node
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

	const parentIndex = Math.floor((index - rootsPerDataCentre) / fanOut);
	const parents = [ordered[parentIndex]!, ...ordered.slice(0, parentIndex)];
	return {kind: 'child', parents};
}
