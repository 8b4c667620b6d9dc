import {maxRootFallbacks, rootsPerDataCentre} from '../protocol/constants.js';
import type {Member} from '../protocol/member.js';
import {computeHash} from '../state/_lib/compute-hash.js';
import {orderMembers} from './_lib/order-members.js';
import {computePosition} from './compute-position.js';
import {computeRoots} from './compute-roots.js';
import type {DocumentPeer} from './document-state.js';

/** Sources from which a node gets the document. */
export type DocumentPeers = {
	/** Whether the node keeps a watch on the store. */
	readonly isRoot: boolean;
	/** Other nodes to poll, in order of preference. */
	readonly peers: readonly DocumentPeer[];
};

/** Rotates members by a hash of the node's name, so that nodes do not all switch to the same fallback. */
function rotate(members: readonly Member[], name: string): readonly Member[] {
	const start = computeHash(name) % Math.max(1, members.length);
	return [...members.slice(start), ...members.slice(0, start)];
}

/**
 * Lists the nodes that a node polls for documents.
 *
 * A root polls the other roots, so that a watch that no longer delivers changes
 * is noticed, and after them some other nodes of its data centre: the store may
 * turn all roots away and serve those. A child polls its parents in the tree of
 * its data centre, and then the roots of its own data centre and one root of
 * each other one.
 *
 * @param members - known members
 * @param name - the node's own name
 * @returns whether the node is a root, and its peers
 * @example
 * listDocumentPeers([self], self.name).isRoot; // true
 */
export function listDocumentPeers(
	members: readonly Member[],
	name: string,
): DocumentPeers {
	const self = members.find((member) => member.name === name);
	if (!self) {
		return {isRoot: true, peers: []};
	}

	const position = computePosition(members, self);
	const ownRoots = computeRoots(members, self.dataCentre, name);
	const others = [...new Set(members.map(({dataCentre}) => dataCentre))]
		.filter((dataCentre) => dataCentre !== self.dataCentre)
		.toSorted()
		.flatMap((dataCentre) => computeRoots(members, dataCentre).slice(0, 1));
	const isRoot = position.kind === 'root';
	const first = isRoot
		? ownRoots
		: [
				...position.parents.slice(0, 1),
				...rotate(position.parents.slice(1), name),
			];
	const fallbacks = isRoot
		? rotate(
				orderMembers(members, self.dataCentre, name).slice(rootsPerDataCentre),
				name,
			).slice(0, maxRootFallbacks)
		: [];
	const peers = new Map<string, DocumentPeer>();
	for (const member of [...first, ...ownRoots, ...others, ...fallbacks]) {
		if (member.name !== name) {
			peers.set(member.name, {name: member.name, address: member.address});
		}
	}

	return {isRoot, peers: [...peers.values()]};
}
