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
import type {PeerCall} from './create-peer-router.js';

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
	handlePoll(poll: DocumentPoll, call?: PeerCall): Promise<DocumentAnswer>;
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

	function tell(message: DocumentMessage, arrivedAt = now()): void {
		if (isStopped) {
			return;
		}

		const step = stepDocument(state, message, now());
		state = step.state;
		for (const effect of step.effects) {
			carryOut(effect, arrivedAt);
		}
	}

	/** Logs what an answer to another node cost, if it holds a document. */
	function reportSent(
		{name: receiver, version: before}: DocumentPoll,
		{document}: DocumentAnswer,
		call: PeerCall | undefined,
	): void {
		if (!document) {
			return;
		}

		const {version} = document;
		call?.onWritten(({bytes, durationMs, isWhole}) => {
			logger.info('configuration sent', {
				receiver,
				version,
				before,
				bytes,
				durationMs: Math.round(durationMs),
				isWhole,
			});
		});
	}

	function tellStored(callId: number, outcome: StoredDocumentOutcome): void {
		const arrivedAt = outcome.kind === 'read' ? outcome.arrivedAt : undefined;
		tell({kind: 'stored', callId, outcome}, arrivedAt);
	}

	async function pollPeer(
		effect: DocumentEffect & {readonly kind: 'poll'},
	): Promise<void> {
		const {callId, address, poll, timeoutMs, isFresh} = effect;
		try {
			const body = await peers
				.getClient(address, {isFresh})
				.document.mutate(poll, {signal: AbortSignal.timeout(timeoutMs)});
			const arrivedAt = now();
			const answer = documentAnswerSchema.parse(body);
			tell(
				{kind: 'polled', callId, outcome: {kind: 'answered', answer}},
				arrivedAt,
			);
		} catch (error) {
			logger.debug('poll for configuration failed', {
				address,
				error: String(error),
			});
			tell({kind: 'polled', callId, outcome: {kind: 'failed'}});
		}
	}

	function carryOut(effect: DocumentEffect, arrivedAt: number): void {
		switch (effect.kind) {
			case 'read': {
				const {callId} = effect;
				void store.readDocument(effect.timeoutMs).then((outcome) => {
					tellStored(callId, outcome);
				});
				break;
			}

			case 'watch': {
				const {callId, revision, waitMs, timeoutMs} = effect;
				void store
					.watchDocument(revision, waitMs, timeoutMs)
					.then((outcome) => {
						tellStored(callId, outcome);
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
				const {document} = effect;
				onDocument(document);
				logger.info('configuration taken over', {
					version: document.version,
					delayMs: Math.round(now() - arrivedAt),
				});
				break;
			}

			case 'log': {
				logger[effect.level](effect.message, effect.fields);
				break;
			}
		}
	}

	const timer = setInterval(() => {
		tell({kind: 'tick'});
	}, documentTickMs);
	tell({kind: 'tick'});

	return {
		tellView(view) {
			tell({kind: 'view', members: view.members});
		},
		async handlePoll(poll, call) {
			if (isStopped) {
				return {ageMs: Number.MAX_SAFE_INTEGER};
			}

			lastPollId++;
			const pollId = lastPollId;
			const answer = await new Promise<DocumentAnswer>((resolve) => {
				resolvers.set(pollId, resolve);
				tell({kind: 'poll', pollId, poll});
			});
			reportSent(poll, answer, call);
			return answer;
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
