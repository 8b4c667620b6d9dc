import {createDocumentState} from '../coordination/create-document-state.js';
import type {
	DocumentEffect,
	DocumentMessage,
	StoredDocumentOutcome,
} from '../coordination/document-state.js';
import {stepDocument} from '../coordination/step-document.js';
import {documentTickMs} from '../protocol/constants.js';
import type {MembersView} from '../protocol/member.js';
import {
	documentAnswerSchema,
	type DocumentAnswer,
	type DocumentPoll,
	type RoutingDocument,
} from '../protocol/routing-document.js';
import type {Logger} from './create-logger.js';
import type {PeerClients} from './create-peer-client.js';

/** Reads the document that operators write to the platform. */
export type DocumentStore = {
	readDocument(timeoutMs: number): Promise<StoredDocumentOutcome>;
	/** Waits for a change after a revision. */
	watchDocument(
		revision: number,
		waitMs: number,
		timeoutMs: number,
	): Promise<StoredDocumentOutcome>;
};

/** Options of `startDocumentTask`. */
export type DocumentTaskOptions = {
	readonly name: string;
	readonly store: DocumentStore;
	readonly peers: PeerClients;
	readonly logger: Logger;
	/** Called with each document that the node runs from now on. */
	readonly onDocument: (document: RoutingDocument) => void;
	/** Monotonic ms; `performance.now` when absent. */
	readonly now?: () => number;
};

/** The task that keeps a node's routing document current and serves others. */
export type DocumentTask = {
	tellView(view: MembersView): void;
	handlePoll(poll: DocumentPoll): Promise<DocumentAnswer>;
	/** Reads the document that the node runs. */
	readDocument(): RoutingDocument | undefined;
	stop(): void;
};

/**
 * Starts the document task of a node: sockets and timers round `stepDocument`.
 *
 * @param options - see `DocumentTaskOptions`
 * @returns the running task
 * @example
 * startDocumentTask({name, store, peers, logger, onDocument});
 */
export function startDocumentTask(options: DocumentTaskOptions): DocumentTask {
	const {name, store, peers, logger, onDocument} = options;
	const {now = () => performance.now()} = options;
	const resolvers = new Map<number, (answer: DocumentAnswer) => void>();
	let state = createDocumentState(name);
	let lastPollId = 0;
	let isStopped = false;

	function tell(message: DocumentMessage): void {
		if (isStopped) {
			return;
		}

		const step = stepDocument(state, message, now());
		state = step.state;
		for (const effect of step.effects) {
			carryOut(effect);
		}
	}

	async function pollPeer(
		effect: DocumentEffect & {readonly kind: 'poll'},
	): Promise<void> {
		const {callId, address, poll, timeoutMs, isFresh} = effect;
		try {
			const answer = documentAnswerSchema.parse(
				await peers
					.getClient(address, {isFresh})
					.document.mutate(poll, {signal: AbortSignal.timeout(timeoutMs)}),
			);
			tell({kind: 'polled', callId, outcome: {kind: 'answered', answer}});
		} catch (error) {
			logger.debug('poll for configuration failed', {
				address,
				error: String(error),
			});
			tell({kind: 'polled', callId, outcome: {kind: 'failed'}});
		}
	}

	function carryOut(effect: DocumentEffect): void {
		switch (effect.kind) {
			case 'read': {
				const {callId} = effect;
				void store.readDocument(effect.timeoutMs).then((outcome) => {
					tell({kind: 'stored', callId, outcome});
				});
				break;
			}

			case 'watch': {
				const {callId, revision, waitMs, timeoutMs} = effect;
				void store
					.watchDocument(revision, waitMs, timeoutMs)
					.then((outcome) => {
						tell({kind: 'stored', callId, outcome});
					});
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
				onDocument(effect.document);
				break;
			}

			case 'log': {
				logger[effect.level](effect.message, effect.fields);
				break;
			}
		}
	}

	const timer = setInterval(tell, documentTickMs, {kind: 'tick'});
	tell({kind: 'tick'});

	return {
		tellView(view) {
			tell({kind: 'view', members: view.members});
		},
		async handlePoll(poll) {
			if (isStopped) {
				return {ageMs: Number.MAX_SAFE_INTEGER};
			}

			lastPollId++;
			const pollId = lastPollId;
			return new Promise((resolve) => {
				resolvers.set(pollId, resolve);
				tell({kind: 'poll', pollId, poll});
			});
		},
		readDocument: () => state.document,
		stop() {
			isStopped = true;
			clearInterval(timer);
			for (const resolve of resolvers.values()) {
				resolve({ageMs: Number.MAX_SAFE_INTEGER});
			}

			resolvers.clear();
		},
	};
}
