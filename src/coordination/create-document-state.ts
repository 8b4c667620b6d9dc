import type {RevocationSettings} from '../protocol/mesh-settings.js';
import type {DocumentLoop, DocumentState} from './document-state.js';
import {createFreshnessState} from './freshness/create-freshness-state.js';

const idleLoop: DocumentLoop = {call: undefined, failures: 0, nextAt: 0};

/**
 * Creates the initial state of a document state machine.
 *
 * @param name - name of the node
 * @param revocation - when absent, the document need not be proven to be fresh
 * @returns the state, without a document
 * @example
 * createDocumentState('abdali-1').document; // undefined
 */
export function createDocumentState(
	name: string,
	revocation?: RevocationSettings,
): DocumentState {
	return {
		name,
		isRoot: true,
		peers: [],
		peerIndex: 0,
		leftParentAt: Number.NEGATIVE_INFINITY,
		document: undefined,
		earlierDocuments: [],
		changes: new Map(),
		needsFullDocument: false,
		confirmedAt: Number.NEGATIVE_INFINITY,
		freshness: revocation && createFreshnessState(revocation),
		revision: undefined,
		era: undefined,
		hasBacklog: false,
		storeLoop: idleLoop,
		peerLoop: idleLoop,
		polls: [],
		lastCallId: 0,
	};
}
