import {Buffer} from 'node:buffer';
import {createDocumentState} from '../src/coordination/create-document-state.js';
import type {
	DocumentEffect,
	DocumentMessage,
	DocumentState,
	StoredDocumentOutcome,
} from '../src/coordination/document-state.js';
import {stepDocument} from '../src/coordination/step-document.js';
import {documentTickMs, documentTransferMs} from '../src/protocol/constants.js';
import type {Member} from '../src/protocol/member.js';
import type {
	DocumentAnswer,
	RoutingDocument,
} from '../src/protocol/routing-document.js';
import {createLink, type Link, type Transfer} from './_lib/create-link.js';
import {createScheduler, type Scheduler} from './create-scheduler.js';

/** Options of `runDocumentDelivery`. */
export type DocumentDeliveryOptions = {
	readonly seed: number;
	/** Names of the nodes, all of one data centre. */
	readonly names: readonly string[];
	/** Rate of each direction of a node's link, Mbit/s. */
	readonly linkMbps: number;
	/** What the operator writes, and when. */
	readonly writes: ReadonlyArray<{
		readonly atMs: number;
		readonly document: RoutingDocument;
	}>;
	readonly endMs: number;
	/** Times at which the bytes that nodes have sent are read, ms. */
	readonly readingsMs?: readonly number[];
	readonly encodeAnswer: (answer: DocumentAnswer) => string;
	readonly decodeAnswer: (text: string) => DocumentAnswer;
};

/** What came of a run. */
export type DocumentDeliveryRun = {
	/** Longest time from the store's answer to each write until a node ran it or a newer one, ms. */
	readonly slowestMs: readonly number[];
	/** Nodes that never ran the newest document. */
	readonly behind: readonly string[];
	/** Most bytes that one node had sent for delivery at each reading. */
	readonly mostSentBytes: readonly number[];
	/** Versions that each node ran, in order. */
	readonly versions: ReadonlyMap<string, readonly number[]>;
};

/** Time between two messages of an unloaded network, ms. */
const networkMs = 1;

/** Bytes of the heads of a call and its answer together, as measured for docs/CAPACITY.md. */
const headBytes = 460;

const bytesPerMsPerMbps = 125;

type Write = DocumentDeliveryOptions['writes'][number];

/** The operator's object in the store, with its history. */
function createStore(scheduler: Scheduler, writes: readonly Write[]) {
	const listeners = new Set<() => void>();
	for (const {atMs} of writes) {
		scheduler.schedule(atMs, () => {
			for (const listener of listeners) {
				listener();
			}
		});
	}

	const listUntilNow = () => writes.filter(({atMs}) => atMs <= scheduler.now());
	return {
		/** Returns what a read would send: the newest document. */
		read(): StoredDocumentOutcome & {readonly kind: 'read'} {
			const written = listUntilNow();
			return {
				kind: 'read',
				document: written.at(-1)?.document,
				revision: written.length,
			};
		},
		/** Returns the changes after a revision; each holds the whole document. */
		listChanges: (revision: number) =>
			listUntilNow()
				.slice(revision)
				.map(({document}) => document),
		listeners,
	};
}

type Store = ReturnType<typeof createStore>;

type Node = {
	readonly uplink: Link;
	readonly downlink: Link;
	readonly runs: Array<{readonly at: number; readonly version: number}>;
	tell(message: DocumentMessage): void;
	/** Waits for the answer to a poll. */
	takePoll(
		poll: Extract<DocumentEffect, {kind: 'poll'}>['poll'],
		answer: (value: DocumentAnswer) => void,
	): void;
};

function createMember(name: string): Member {
	return {
		name,
		dataCentre: 'abdali',
		address: name,
		incarnation: 1,
		sequence: 0,
		state: 'alive',
		upstreams: [],
	};
}

type CallProgress = {
	readonly isOver: () => boolean;
	/** Called when the answer begins to arrive. */
	readonly begin: () => void;
	/** Called with the outcome. */
	readonly take: (message: DocumentMessage) => void;
};

type Call = {
	readonly callId: number;
	/** Time after which the call is cut unless its answer has begun, ms. */
	readonly abortMs: number;
	readonly start: (progress: CallProgress) => void;
	readonly failure: DocumentMessage;
};

function createNode(
	name: string,
	nodes: ReadonlyMap<string, Node>,
	context: {
		readonly options: DocumentDeliveryOptions;
		readonly scheduler: Scheduler;
		readonly store: Store;
	},
): Node {
	const {options, scheduler, store} = context;
	const bytesPerMs = options.linkMbps * bytesPerMsPerMbps;
	const uplink = createLink(scheduler, bytesPerMs);
	const downlink = createLink(scheduler, bytesPerMs);
	const waiting = new Map<number, (answer: DocumentAnswer) => void>();
	const runs: Node['runs'] = [];
	let state: DocumentState = createDocumentState(name);
	let lastPollId = 0;

	function tell(message: DocumentMessage): void {
		const step = stepDocument(state, message, scheduler.now());
		state = step.state;
		for (const effect of step.effects) {
			carryOut(effect);
		}
	}

	function callOut({callId, abortMs, start, failure}: Call): void {
		let isOver = false;

		function abort(): void {
			isOver = true;
			tell(failure);
		}

		let cancel = scheduler.schedule(abortMs, abort);
		start({
			isOver: () => isOver,
			begin() {
				cancel();
				cancel = scheduler.schedule(documentTransferMs, abort);
				tell({kind: 'receiving', callId});
			},
			take(message) {
				isOver = true;
				cancel();
				tell(message);
			},
		});
	}

	function receive(transfer: Omit<Transfer, 'onPart'>, take: () => void): void {
		downlink.send({
			...transfer,
			onPart(_bytes, isLast) {
				if (isLast) {
					take();
				}
			},
		});
	}

	/** Sends an answer over the uplink of the sender and the own downlink. */
	function fetch(
		sender: Node,
		bytes: number,
		isAborted: () => boolean,
		take: () => void,
	): void {
		sender.uplink.send({
			bytes,
			isAborted,
			onPart(part, isLast) {
				scheduler.schedule(networkMs, () => {
					receive({bytes: part, isAborted}, () => {
						if (isLast) {
							take();
						}
					});
				});
			},
		});
	}

	function callStore(
		effect: Extract<DocumentEffect, {kind: 'read' | 'watch' | 'check'}>,
	): Call {
		const {callId, timeoutMs} = effect;
		const failure: DocumentMessage = {
			kind: 'stored',
			callId,
			outcome: {kind: 'failed'},
		};
		return {
			callId,
			abortMs: timeoutMs,
			failure,
			start({isOver, begin, take}) {
				const send = (documents: readonly RoutingDocument[]) => {
					const {revision} = store.read();
					const document = documents.at(-1);
					const text = documents.map((each) => JSON.stringify(each)).join('');
					const bytes = headBytes + Buffer.byteLength(text);
					const startedAt = scheduler.now();
					begin();
					receive({bytes, isAborted: isOver}, () => {
						const transferMs = scheduler.now() - startedAt;
						const outcome: StoredDocumentOutcome =
							effect.kind === 'check'
								? {kind: 'revision', revision}
								: {kind: 'read', document, revision, transferMs};
						take({kind: 'stored', callId, outcome});
					});
				};

				const sendChanges = (revision: number, waitMs: number) => {
					const answer = () => {
						const changes = store.listChanges(revision);
						if (changes.length > 0 && !isOver()) {
							store.listeners.delete(answer);
							cancel();
							send(changes);
						}
					};

					const cancel = scheduler.schedule(waitMs, () => {
						store.listeners.delete(answer);
						send([]);
					});
					store.listeners.add(answer);
					answer();
				};

				scheduler.schedule(2 * networkMs, () => {
					switch (effect.kind) {
						case 'read': {
							const {document} = store.read();
							send(document ? [document] : []);
							break;
						}

						case 'check': {
							send([]);
							break;
						}

						case 'watch': {
							sendChanges(effect.revision, effect.waitMs);
							break;
						}
					}
				});
			},
		};
	}

	function callPeer(effect: Extract<DocumentEffect, {kind: 'poll'}>): Call {
		const {callId, address, poll, timeoutMs} = effect;
		return {
			callId,
			abortMs: timeoutMs + documentTransferMs,
			failure: {kind: 'polled', callId, outcome: {kind: 'failed'}},
			start({isOver, take}) {
				const peer = nodes.get(address)!;
				const bytes = headBytes + JSON.stringify(poll).length;
				uplink.send({
					bytes,
					isAborted: isOver,
					onPart() {
						peer.takePoll(poll, (answer) => {
							const text = options.encodeAnswer(answer);
							fetch(peer, Buffer.byteLength(text), isOver, () => {
								take({
									kind: 'polled',
									callId,
									outcome: {
										kind: 'answered',
										answer: options.decodeAnswer(text),
									},
								});
							});
						});
					},
				});
			},
		};
	}

	function carryOut(effect: DocumentEffect): void {
		switch (effect.kind) {
			case 'read':
			case 'check':
			case 'watch': {
				callOut(callStore(effect));
				break;
			}

			case 'poll': {
				callOut(callPeer(effect));
				break;
			}

			case 'answer': {
				waiting.get(effect.pollId)?.(effect.answer);
				waiting.delete(effect.pollId);
				break;
			}

			case 'run': {
				runs.push({at: scheduler.now(), version: effect.document.version});
				break;
			}

			case 'store-restored': {
				// The members write their addresses again; they are not run here.
				break;
			}

			case 'log': {
				break;
			}
		}
	}

	function tick(): void {
		tell({kind: 'tick'});
		scheduler.schedule(documentTickMs, tick);
	}

	scheduler.schedule(scheduler.random() * documentTickMs, tick);
	return {
		uplink,
		downlink,
		runs,
		tell,
		takePoll(poll, answer) {
			lastPollId++;
			waiting.set(lastPollId, answer);
			tell({kind: 'poll', pollId: lastPollId, poll});
		},
	};
}

/**
 * Runs the document machines of one data centre over links of a given rate, on
 * one simulated clock. Messages take the time that their encoded bytes need;
 * processor time is not simulated.
 *
 * @param options - see `DocumentDeliveryOptions`
 * @returns how late and at what cost the nodes ran what was written
 * @example
 * runDocumentDelivery({seed: 1, names, linkMbps: 3.5, writes, endMs: 10_000, encodeAnswer, decodeAnswer});
 */
export function runDocumentDelivery(
	options: DocumentDeliveryOptions,
): DocumentDeliveryRun {
	const scheduler = createScheduler(options.seed);
	const store = createStore(scheduler, options.writes);
	const nodes = new Map<string, Node>();
	for (const name of options.names) {
		nodes.set(name, createNode(name, nodes, {options, scheduler, store}));
	}

	const members = options.names.map((name) => createMember(name));
	scheduler.schedule(0, () => {
		for (const node of nodes.values()) {
			node.tell({kind: 'view', members});
		}
	});
	const mostSentBytes: number[] = [];
	for (const at of options.readingsMs ?? []) {
		scheduler.schedule(at, () => {
			const sent = [...nodes.values()].map(({uplink}) => uplink.readBytes());
			mostSentBytes.push(Math.max(...sent));
		});
	}

	scheduler.runUntil(options.endMs);
	const newest = options.writes.at(-1)?.document.version ?? 0;
	const listed = [...nodes];
	const computeSlowestMs = ({atMs, document}: Write): number =>
		Math.max(
			...listed.map(([, {runs}]) => {
				const run = runs.find(({version}) => version >= document.version);
				return (run?.at ?? Number.POSITIVE_INFINITY) - atMs;
			}),
		);
	return {
		slowestMs: options.writes.map((write) => computeSlowestMs(write)),
		behind: listed
			.filter(([, {runs}]) => runs.at(-1)?.version !== newest)
			.map(([name]) => name),
		mostSentBytes,
		versions: new Map(
			listed.map(([name, {runs}]) => [name, runs.map(({version}) => version)]),
		),
	};
}
