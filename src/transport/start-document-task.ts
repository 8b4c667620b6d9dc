import {computeProofAge} from '../coordination/freshness/compute-proof-age.js';
import {createDocumentState} from '../coordination/create-document-state.js';
import type {
	DocumentEffect,
	DocumentMessage,
	PeerDocumentOutcome,
	StoredDocumentOutcome,
} from '../coordination/document-state.js';
import {stepDocument} from '../coordination/step-document.js';
import {documentTickMs, documentTransferMs} from '../protocol/constants.js';
import type {MembersView} from '../protocol/member.js';
import type {RevocationSettings} from '../protocol/mesh-settings.js';
import type {
	DocumentAnswer,
	DocumentPoll,
	EncodedDocumentAnswer,
	RoutingDocument,
} from '../protocol/routing-document.js';
import {decodeDocumentAnswer} from '../state/decode-document-answer.js';
import {encodeDocumentAnswer} from '../state/encode-document-answer.js';
import {createElapsedClock} from './_lib/create-elapsed-clock.js';
import type {Logger} from './create-logger.js';
import type {PeerClients} from './create-peer-client.js';
import type {PeerCall} from './create-peer-router.js';

/** Time limits of a store call whose response may be large. */
export type StoreCallLimits = {
	/** Time limit until the response begins, ms. */
	readonly timeoutMs: number;
	/** Time limit from the beginning of the response to its end, ms. */
	readonly transferMs: number;
	/** Called when the response begins. */
	readonly onBegun: () => void;
};

/** Store of the routing document that operators write to the platform. */
export type DocumentStore = {
	readDocument(limits: StoreCallLimits): Promise<StoredDocumentOutcome>;
	/** Reads the number of the newest revision, without the document. */
	readRevision(limits: StoreCallLimits): Promise<StoredDocumentOutcome>;
	/** Waits up to `waitMs` for a change after a revision. */
	watchDocument(
		revision: number,
		waitMs: number,
		limits: StoreCallLimits,
	): Promise<StoredDocumentOutcome>;
};

/** Answer of a node that has stopped; its age makes the polling node switch to another peer. */
const stoppedAnswer = {
	kind: 'unchanged',
	ageMs: Number.MAX_SAFE_INTEGER,
} as const;

/** Options of `startDocumentTask`. */
export type DocumentTaskOptions = {
	readonly name: string;
	readonly store: DocumentStore;
	readonly peers: PeerClients;
	readonly logger: Logger;
	/** Called when the store has come back from an older copy, which may lack objects of this system. */
	readonly onStoreRestored?: () => void;
	/** Called with each document that the node starts to run. */
	readonly onDocument: (document: RoutingDocument) => void;
	/** Monotonic ms; `performance.now` when absent. */
	readonly now?: () => number;
	/** When absent, the document need not be proven to be fresh. */
	readonly revocation?: RevocationSettings | undefined;
	/** Elapsed time, which counts suspensions of the machine, ms; read only with `revocation`. */
	readonly readElapsed?: () => number;
};

/** The task that keeps a node's routing document current and serves it to other nodes. */
export type DocumentTask = {
	updateMembers(view: MembersView): void;
	handlePoll(
		poll: DocumentPoll,
		call?: PeerCall,
	): Promise<EncodedDocumentAnswer>;
	/** Returns the document that the node runs. */
	readDocument(): RoutingDocument | undefined;
	/** Returns the time since the document was last confirmed to be the newest, ms; infinity without a document. */
	readConfirmedAge(): number;
	/**
	 * Returns the age of the proof that the document is the newest, in ms of
	 * elapsed time: every version that the store acknowledged earlier is in force.
	 * Infinity without a proof or without settings for revocation.
	 */
	readProofAge(): number;
	stop(): void;
};

/**
 * Starts the document task of a node, which performs the I/O and timers for
 * `stepDocument`.
 *
 * @param options - see `DocumentTaskOptions`
 * @returns the running task
 * @example
 * startDocumentTask({name, store, peers, logger, onDocument});
 */
export function startDocumentTask(options: DocumentTaskOptions): DocumentTask {
	const {name, store, peers, logger, onDocument, revocation} = options;
	const {now = () => performance.now()} = options;
	const {readElapsed = createElapsedClock({now})} = options;
	const resolvers = new Map<number, (answer: DocumentAnswer) => void>();
	let state = createDocumentState(name, revocation);
	let lastPollId = 0;
	let isStopped = false;

	function dispatch(message: DocumentMessage, arrivedAt = now()): void {
		if (isStopped) {
			return;
		}

		const elapsedAt = revocation && readElapsed();
		const step = stepDocument(state, message, now(), elapsedAt);
		state = step.state;
		for (const effect of step.effects) {
			runEffect(effect, arrivedAt);
		}
	}

	/** Logs size and duration of an answer to another node if it contains a document or changes. */
	function logSentDocument(
		{name: receiver, version: before}: DocumentPoll,
		{kind}: EncodedDocumentAnswer,
		call: PeerCall | undefined,
	): void {
		if (kind === 'unchanged') {
			return;
		}

		const version = state.document?.version;
		call?.onWritten(({bytes, durationMs, isWhole}) => {
			logger.info('configuration sent', {
				receiver,
				kind,
				version,
				before,
				bytes,
				durationMs: Math.round(durationMs),
				isWhole,
			});
		});
	}

	async function runStoreCall(
		effect: DocumentEffect & {readonly kind: 'read' | 'watch' | 'check'},
	): Promise<void> {
		const {callId, timeoutMs} = effect;
		const limits: StoreCallLimits = {
			timeoutMs,
			transferMs: documentTransferMs,
			onBegun() {
				dispatch({kind: 'receiving', callId});
			},
		};
		const outcome = await callStore(effect, limits);
		const arrivedAt = outcome.kind === 'read' ? outcome.arrivedAt : undefined;
		dispatch({kind: 'stored', callId, outcome}, arrivedAt);
	}

	async function callStore(
		effect: DocumentEffect & {readonly kind: 'read' | 'watch' | 'check'},
		limits: StoreCallLimits,
	): Promise<StoredDocumentOutcome> {
		switch (effect.kind) {
			case 'read': {
				return store.readDocument(limits);
			}

			case 'check': {
				return store.readRevision(limits);
			}

			case 'watch': {
				return store.watchDocument(effect.revision, effect.waitMs, limits);
			}
		}
	}

	async function pollPeer(
		effect: DocumentEffect & {readonly kind: 'poll'},
	): Promise<void> {
		const {callId, address, poll, timeoutMs, needsNewConnection} = effect;
		try {
			const body = await peers
				.getClient(address, {needsNewConnection})
				// A document that arrives after the call has timed out is still used.
				.document.mutate(poll, {
					signal: AbortSignal.timeout(timeoutMs + documentTransferMs),
				});
			const arrivedAt = now();
			const outcome = decodeDocumentAnswer(body).match(
				(answer): PeerDocumentOutcome => ({kind: 'answered', answer}),
				(reason): PeerDocumentOutcome => ({kind: 'malformed', reason}),
			);
			dispatch({kind: 'polled', callId, outcome}, arrivedAt);
		} catch (error) {
			logger.debug('poll for configuration failed', {
				address,
				error: String(error),
			});
			dispatch({kind: 'polled', callId, outcome: {kind: 'failed'}});
		}
	}

	function runEffect(effect: DocumentEffect, arrivedAt: number): void {
		switch (effect.kind) {
			case 'read':
			case 'check':
			case 'watch': {
				void runStoreCall(effect);
				break;
			}

			case 'poll': {
				void pollPeer(effect);
				break;
			}

			case 'answer': {
				resolvers.get(effect.pollId)?.(effect.answer);
				resolvers.delete(effect.pollId);
				break;
			}

			case 'run': {
				const {document} = effect;
				onDocument(document);
				logger.info('configuration taken over', {
					version: document.version,
					delayMs: Math.round(now() - arrivedAt),
				});
				break;
			}

			case 'store-restored': {
				options.onStoreRestored?.();
				break;
			}

			case 'log': {
				logger[effect.level](effect.message, effect.fields);
				break;
			}
		}
	}

	const timer = setInterval(() => {
		// If the event loop lags, responses that have arrived are read before calls time out.
		setImmediate(dispatch, {kind: 'tick'});
	}, documentTickMs);
	dispatch({kind: 'tick'});

	return {
		updateMembers(view) {
			dispatch({kind: 'view', members: view.members});
		},
		async handlePoll(poll, call) {
			if (isStopped) {
				return stoppedAnswer;
			}

			lastPollId++;
			const pollId = lastPollId;
			const answer = await new Promise<DocumentAnswer>((resolve) => {
				resolvers.set(pollId, resolve);
				dispatch({kind: 'poll', pollId, poll});
			});
			const encoded = encodeDocumentAnswer(answer);
			logSentDocument(poll, encoded, call);
			return encoded;
		},
		readDocument: () => state.document,
		readConfirmedAge: () =>
			state.document ? now() - state.confirmedAt : Number.POSITIVE_INFINITY,
		readProofAge: () => computeProofAge(state.freshness, readElapsed()),
		stop() {
			isStopped = true;
			clearInterval(timer);
			for (const resolve of resolvers.values()) {
				resolve(stoppedAnswer);
			}

			resolvers.clear();
		},
	};
}
