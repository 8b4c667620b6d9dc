/**
 * State, messages and effects of the machine that keeps a node's routing
 * document current and serves it to other nodes.
 */
import type {Member} from '../protocol/member.js';
import type {
	DocumentAnswer,
	DocumentChanges,
	DocumentPoll,
	RoutingDocument,
} from '../protocol/routing-document.js';

/** Where a node can get the document from, in order of preference. */
export type DocumentPeer = {readonly name: string; readonly address: string};

/** One of the two loops of calls: on the store, and on other nodes. */
export type DocumentLoop = {
	/** The call in flight, which counts as failed after its end. */
	readonly call:
		| {
				readonly id: number;
				readonly endsAt: number;
				/** Whether a part of the answer has arrived. */
				readonly isReceiving: boolean;
		  }
		| undefined;
	readonly failures: number;
	/** When the next call may start, monotonic ms. */
	readonly nextAt: number;
};

/** A poll that waits for a newer document. */
export type WaitingDocumentPoll = {
	readonly pollId: number;
	readonly version: number;
	readonly endsAt: number;
};

/** State of a node's document machine; times are monotonic ms. */
export type DocumentState = {
	readonly name: string;
	/** Whether the node keeps a watch on the store. */
	readonly isRoot: boolean;
	readonly peers: readonly DocumentPeer[];
	/** Which of the peers is asked now. */
	readonly peerIndex: number;
	/** When the first peer last failed, monotonic ms. */
	readonly leftParentAt: number;
	/** The document that the node runs. */
	readonly document: RoutingDocument | undefined;
	/** Documents that it ran before, oldest first; unchanged routes are shared. */
	readonly earlierDocuments: readonly RoutingDocument[];
	/** Changes to the running document by the version that they start from. */
	readonly changes: ReadonlyMap<number, DocumentChanges | undefined>;
	/** Whether changes from a peer did not fit, so that the whole is asked for. */
	readonly needsFullDocument: boolean;
	/** When the document was last known to be the newest. */
	readonly confirmedAt: number;
	/** Revision of the store from which to watch; undefined before a read. */
	readonly revision: number | undefined;
	/** Whether changes may have gathered since, which a watch would all send. */
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
			/** Absent when nothing has changed, or when there is none. */
			readonly document: RoutingDocument | undefined;
			/** Revision from which to watch on. */
			readonly revision: number;
			/** When the whole answer had arrived, monotonic ms. */
			readonly arrivedAt?: number | undefined;
			/** Time from its first part to its last, ms. */
			readonly transferMs?: number | undefined;
	  }
	/** The newest revision of the store. */
	| {readonly kind: 'revision'; readonly revision: number}
	/** The history since the revision is gone. */
	| {readonly kind: 'compacted'}
	| {readonly kind: 'failed'};

/** Outcome of a poll of another node. */
export type PeerDocumentOutcome =
	| {readonly kind: 'answered'; readonly answer: DocumentAnswer}
	/** What came cannot be used. */
	| {readonly kind: 'malformed'; readonly reason: string}
	| {readonly kind: 'failed'};

/** What the document machine can be told. */
export type DocumentMessage =
	| {readonly kind: 'view'; readonly members: readonly Member[]}
	| {readonly kind: 'tick'}
	| {
			readonly kind: 'stored';
			readonly callId: number;
			readonly outcome: StoredDocumentOutcome;
	  }
	/** The answer of the store to a call has begun to arrive. */
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

/** What the document machine asks of its task. */
export type DocumentEffect =
	| {readonly kind: 'read'; readonly callId: number; readonly timeoutMs: number}
	/** Asks for the newest revision of the store. */
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
	| {
			readonly kind: 'log';
			readonly level: 'info' | 'warn';
			readonly message: string;
			readonly fields: Readonly<Record<string, unknown>>;
	  };

/** Result of one step of the document machine. */
export type DocumentStep = {
	readonly state: DocumentState;
	readonly effects: readonly DocumentEffect[];
};
