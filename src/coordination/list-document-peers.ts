import type {Member} from '../protocol/member.js';
import {computeHash} from '../state/_lib/compute-hash.js';
import {computePosition} from './compute-position.js';
import {computeRoots} from './compute-roots.js';
import type {DocumentPeer} from './document-state.js';

/** From whom a node gets the document. */
export type DocumentPeers = {
	/** Whether the node keeps a watch on the store. */
	readonly isRoot: boolean;
	/** Other nodes to ask, in order of preference. */
	readonly peers: readonly DocumentPeer[];
};

/**
 * Puts the parents after the first in an order that differs from child to
 * child, so that the children of a parent that fails do not all turn to one.
 */
function rotateFallbacks(
	[parent, ...others]: readonly Member[],
	name: string,
): readonly Member[] {
	const start = computeHash(name) % Math.max(1, others.length);
	return [parent!, ...others.slice(start), ...others.slice(0, start)];
}

/**
 * Lists the nodes that a node asks for documents.
 *
 * A root asks the other roots, so that a watch that has fallen silent is
 * noticed; a child asks its parents in the tree of its data centre, and then
 * the roots of other data centres.
 *
 * @param members - known members
 * @param name - the node's own name
 * @returns its part and its peers
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
	const first =
		position.kind === 'root'
			? ownRoots
			: rotateFallbacks(position.parents, name);
	const peers = new Map<string, DocumentPeer>();
	for (const member of [...first, ...ownRoots, ...others]) {
		if (member.name !== name) {
			peers.set(member.name, {name: member.name, address: member.address});
		}
	}

	return {isRoot: position.kind === 'root', peers: [...peers.values()]};
}
