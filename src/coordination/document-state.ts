/**
 * State, messages and effects of the state machine that keeps a node's routing
 * document up to date and serves it to other nodes.
 */
import type {Member} from '../protocol/member.js';
import type {
	DocumentAnswer,
	DocumentChanges,
	DocumentPoll,
	RoutingDocument,
} from '../protocol/routing-document.js';
import type {FreshnessState} from './freshness/freshness-state.js';

/** A node from which the document can be polled. */
export type DocumentPeer = {readonly name: string; readonly address: string};

/** One of the two call loops: calls to the store, and polls of other nodes. */
export type DocumentLoop = {
	/** The call in flight; it counts as failed after `endsAt`. */
	readonly call:
		| {
				readonly id: number;
				readonly endsAt: number;
				/** Whether a part of the answer has arrived. */
				readonly isReceiving: boolean;
		  }
		| undefined;
	/** Number of calls that have failed in a row. */
	readonly failures: number;
	/** When the next call may start, monotonic ms. */
	readonly nextAt: number;
};

/** A poll of another node that waits here for a newer document. */
export type WaitingDocumentPoll = {
	readonly pollId: number;
	readonly version: number;
	/** When the poll arrived, monotonic ms. */
	readonly arrivedAt: number;
	readonly endsAt: number;
	/** Proof time of the node when the poll arrived; undefined if no proofs are required. */
	readonly provenAt: number | undefined;
};

/** State of a node's document state machine; times are monotonic ms. */
export type DocumentState = {
	readonly name: string;
	/** Whether the node keeps a watch on the store. */
	readonly isRoot: boolean;
	readonly peers: readonly DocumentPeer[];
	/** Index of the peer that is polled, modulo the number of peers. */
	readonly peerIndex: number;
	/**
	 * When the node last switched from its parent, the first peer, to another,
	 * monotonic ms.
	 */
	readonly leftParentAt: number;
	/** The document that the node runs. */
	readonly document: RoutingDocument | undefined;
	/** Documents that the node ran before, oldest first; they share unchanged routes. */
	readonly earlierDocuments: readonly RoutingDocument[];
	/** Changes that lead to the running document, by their base version. */
	readonly changes: ReadonlyMap<number, DocumentChanges | undefined>;
	/**
	 * Whether changes from a peer could not be applied, so that the next poll
	 * asks for the full document.
	 */
	readonly needsFullDocument: boolean;
	/** When the document was last confirmed to be the newest. */
	readonly confirmedAt: number;
	/** Proof that the document is the newest; undefined if none is required. */
	readonly freshness: FreshnessState | undefined;
	/**
	 * Revision of the store from which to watch; undefined if the document must
	 * be read first.
	 */
	readonly revision: number | undefined;
	/**
	 * Era of the store in which the revision was given out; undefined if the store
	 * names none. In another era the same revision may name other content.
	 */
	readonly era: number | undefined;
	/**
	 * Whether there may be several changes since the revision, each of which a
	 * watch would send.
	 */
	readonly hasBacklog: boolean;
	readonly storeLoop: DocumentLoop;
	readonly peerLoop: DocumentLoop;
	readonly polls: readonly WaitingDocumentPoll[];
	readonly lastCallId: number;
};

/** Outcome of a read or watch of the document in the store. */
export type StoredDocumentOutcome =
	| {
			readonly kind: 'read';
			/** Undefined if nothing has changed or the store holds no document. */
			readonly document: RoutingDocument | undefined;
			/** Whether the store holds a document that cannot be read at all. */
			readonly isUnreadable?: boolean | undefined;
			/** Revision from which to continue watching; undefined if the store sent none that can be used. */
			readonly revision: number | undefined;
			/** Era of the store; undefined if it names none. */
			readonly era?: number | undefined;
			/** When the whole answer had arrived, monotonic ms. */
			readonly arrivedAt?: number | undefined;
			/** Time from the first part of the answer to its last, ms. */
			readonly transferMs?: number | undefined;
	  }
	/** The newest revision of the store; undefined if the store sent none that can be used. */
	| {
			readonly kind: 'revision';
			readonly revision: number | undefined;
			readonly era?: number | undefined;
	  }
	/** The store has compacted the history since the revision. */
	| {readonly kind: 'compacted'}
	| {readonly kind: 'failed'};

/** Outcome of a poll of another node. */
export type PeerDocumentOutcome =
	| {readonly kind: 'answered'; readonly answer: DocumentAnswer}
	/** The answer cannot be decoded. */
	| {readonly kind: 'malformed'; readonly reason: string}
	| {readonly kind: 'failed'};

/** Messages that the document state machine handles. */
export type DocumentMessage =
	| {readonly kind: 'view'; readonly members: readonly Member[]}
	| {readonly kind: 'tick'}
	| {
			readonly kind: 'stored';
			readonly callId: number;
			readonly outcome: StoredDocumentOutcome;
	  }
	/** The store's answer to a call has begun to arrive. */
	| {readonly kind: 'receiving'; readonly callId: number}
	| {
			readonly kind: 'polled';
			readonly callId: number;
			readonly outcome: PeerDocumentOutcome;
	  }
	| {
			readonly kind: 'poll';
			readonly pollId: number;
			readonly poll: DocumentPoll;
	  };

/** Effects that the caller of `stepDocument` carries out. */
export type DocumentEffect =
	| {readonly kind: 'read'; readonly callId: number; readonly timeoutMs: number}
	/** Reads the newest revision of the store, without the document. */
	| {
			readonly kind: 'check';
			readonly callId: number;
			readonly timeoutMs: number;
	  }
	| {
			readonly kind: 'watch';
			readonly callId: number;
			readonly revision: number;
			readonly waitMs: number;
			readonly timeoutMs: number;
	  }
	| {
			readonly kind: 'poll';
			readonly callId: number;
			readonly address: string;
			readonly poll: DocumentPoll;
			readonly timeoutMs: number;
			/** Whether to open a new connection. */
			readonly needsNewConnection: boolean;
	  }
	| {
			readonly kind: 'answer';
			readonly pollId: number;
			readonly answer: DocumentAnswer;
	  }
	| {readonly kind: 'run'; readonly document: RoutingDocument}
	/** The store has come back from an older copy, which may lack what was written since. */
	| {readonly kind: 'store-restored'}
	| {
			readonly kind: 'log';
			readonly level: 'info' | 'warn';
			readonly message: string;
			readonly fields: Readonly<Record<string, unknown>>;
	  };

/** Result of one step of the document state machine. */
export type DocumentStep = {
	readonly state: DocumentState;
	readonly effects: readonly DocumentEffect[];
};
