import {createDocumentState} from '../src/coordination/create-document-state.js';
import type {
	DocumentEffect,
	DocumentMessage,
	StoredDocumentOutcome,
} from '../src/coordination/document-state.js';
import {stepDocument} from '../src/coordination/step-document.js';
import {documentTickMs} from '../src/protocol/constants.js';
import type {Member} from '../src/protocol/member.js';
import type {
	DocumentAnswer,
	RoutingDocument,
} from '../src/protocol/routing-document.js';
import {createScheduler, type Scheduler} from './create-scheduler.js';

/** When a round restores the store. */
export type RestoreMoment =
	/** While the watches wait. */
	| 'at rest'
	/** Within milliseconds of a change, so that watches end and begin. */
	| 'after a change'
	/** Not at all: only a version is written. */
	| 'never';

/** Options of `runStoreRestores`. */
export type StoreRestoreOptions = {
	readonly seed: number;
	readonly rounds: number;
	readonly moment: RestoreMoment;
	/** Whether the store names its era. */
	readonly namesEra: boolean;
	/** Longest time for which the store is away while it is restored, ms. */
	readonly maxAwayMs: number;
	/** Whether a round may restore the store a second time, at once. */
	readonly restoresTwice?: boolean;
	/** Whether the store may lose its history when it is restored, so that it answers 410. */
	readonly compacts?: boolean;
	/** How the store treats some of the nodes; `served` when absent. */
	readonly refusal?: 'served' | 'refused' | 'silent';
	/** These nodes; others in each round when absent. */
	readonly refusedNames?: readonly string[];
	/** Whether a node starts in each round. */
	readonly startsNodes?: boolean;
};

/** What came of a run. */
export type StoreRestoreRun = {
	/** Longest time from the acknowledgement of a version until every node ran it or a newer one, ms. */
	readonly slowestMs: number;
	/** Rounds after which a node had not run the newest version. */
	readonly missed: number;
	/** Number of times that a node ran a lower version than before. */
	readonly backward: number;
};

/** Time from one round to the next, ms; longer than the longest time in which a change has to be in force. */
const roundMs = 12_000;

/** Longest time of a message between two machines, ms. */
const maxNetworkMs = 4;

/** Time after which the store or a node is seen to refuse a connection, ms. */
const refusedMs = 1;

type Change = {readonly revision: number; readonly version: number};

/** What the store holds, and what a copy of it holds. */
type StoreContent = {
	readonly revision: number;
	readonly version: number;
	readonly changes: readonly Change[];
	/** Revision up to which the history is gone. */
	readonly compactedTo: number;
};

type StoreCall = {
	readonly effect: DocumentEffect & {readonly kind: 'read' | 'watch' | 'check'};
	/** Start of the store to which the caller has a connection; undefined if it has none. */
	readonly connection: number | undefined;
	readonly answer: (outcome: StoredDocumentOutcome) => void;
};

function createDocument(version: number): RoutingDocument {
	return {version, routes: [], services: {}};
}

/** Creates a simulated store that can be restored from a copy. */
function createStore(scheduler: Scheduler, namesEra: boolean) {
	let content: StoreContent = {
		revision: 7,
		version: 0,
		changes: [],
		compactedTo: 0,
	};
	let era = 1;
	let starts = 1;
	let isAway = false;
	const open = new Set<StoreCall>();

	function end(call: StoreCall, outcome: StoredDocumentOutcome): void {
		if (open.delete(call)) {
			call.answer(outcome);
		}
	}

	function failAll(): void {
		for (const call of open) {
			end(call, {kind: 'failed'});
		}
	}

	function createRead(version: number | undefined): StoredDocumentOutcome {
		return {
			kind: 'read',
			document: version === undefined ? undefined : createDocument(version),
			revision: content.revision,
			...(namesEra && {era}),
		};
	}

	function createRevision(): StoredDocumentOutcome {
		const {revision} = content;
		return {kind: 'revision', revision, ...(namesEra && {era})};
	}

	/** Answers a watch if it has something to tell. */
	function answerWatch(call: StoreCall, revision: number): void {
		if (revision > content.revision || revision < content.compactedTo) {
			end(call, {kind: 'compacted'});
			return;
		}

		const change = content.changes.findLast(
			(known) => known.revision > revision,
		);
		if (change) {
			end(call, createRead(change.version));
		}
	}

	function answerWatches(): void {
		for (const call of open) {
			if (call.effect.kind === 'watch') {
				answerWatch(call, call.effect.revision);
			}
		}
	}

	return {
		read: () => content,
		readStarts: () => starts,
		accept(call: StoreCall): void {
			open.add(call);
			const {effect} = call;
			if (isAway) {
				end(call, {kind: 'failed'});
			} else if (effect.kind === 'read') {
				end(call, createRead(content.version));
			} else if (effect.kind === 'check') {
				end(call, createRevision());
			} else if (call.connection === starts) {
				scheduler.schedule(effect.waitMs, () => {
					end(call, createRead(undefined));
				});
				answerWatch(call, effect.revision);
			} else {
				// The client of the store begins no watch on a new connection.
				end(call, namesEra ? createRevision() : createRead(content.version));
			}
		},
		/** Writes a version of the configuration. */
		write(version: number): void {
			const revision = content.revision + 1;
			const changes = [...content.changes, {revision, version}];
			content = {...content, revision, version, changes};
			answerWatches();
		},
		/** Writes an object of another kind. */
		writeOther(): void {
			content = {...content, revision: content.revision + 1};
		},
		leave(): void {
			isAway = true;
			failAll();
		},
		comeBack(copy: StoreContent, isCompacted: boolean): void {
			isAway = false;
			starts++;
			era++;
			content = isCompacted
				? {...copy, changes: [], compactedTo: copy.revision}
				: copy;
		},
	};
}

type Store = ReturnType<typeof createStore>;

type Node = {
	readonly name: string;
	readonly runs: Array<{readonly at: number; readonly version: number}>;
	tell(message: DocumentMessage): void;
	takePoll(
		poll: Extract<DocumentEffect, {kind: 'poll'}>['poll'],
		answer: (value: DocumentAnswer) => void,
	): void;
};

type NodeContext = {
	readonly scheduler: Scheduler;
	readonly store: Store;
	readonly nodes: ReadonlyMap<string, Node>;
	/** Returns how the store treats the node now. */
	readonly readRefusal: (name: string) => 'served' | 'refused' | 'silent';
};

function createNode(name: string, context: NodeContext): Node {
	const {scheduler, store, nodes, readRefusal} = context;
	const waiting = new Map<number, (answer: DocumentAnswer) => void>();
	const runs: Node['runs'] = [];
	let state = createDocumentState(name);
	let lastPollId = 0;
	let connection: number | undefined;

	const delay = (): number => 1 + scheduler.random() * (maxNetworkMs - 1);

	function tell(message: DocumentMessage): void {
		const step = stepDocument(state, message, scheduler.now());
		state = step.state;
		for (const effect of step.effects) {
			carryOut(effect);
		}
	}

	function callStore(effect: StoreCall['effect']): void {
		const {callId, timeoutMs} = effect;
		let isOver = false;

		function take(outcome: StoredDocumentOutcome): void {
			if (!isOver) {
				isOver = true;
				cancel();
				tell({kind: 'stored', callId, outcome});
			}
		}

		const cancel = scheduler.schedule(timeoutMs, () => {
			take({kind: 'failed'});
		});
		const refusal = readRefusal(name);
		if (refusal === 'refused') {
			scheduler.schedule(refusedMs, () => {
				take({kind: 'failed'});
			});
		} else if (refusal === 'served') {
			scheduler.schedule(delay(), () => {
				store.accept({
					effect,
					connection,
					answer(outcome) {
						connection = store.readStarts();
						scheduler.schedule(delay(), () => {
							take(outcome);
						});
					},
				});
			});
		}
	}

	function callPeer({
		callId,
		address,
		poll,
	}: DocumentEffect & {readonly kind: 'poll'}): void {
		scheduler.schedule(delay(), () => {
			nodes.get(address)!.takePoll(poll, (answer) => {
				scheduler.schedule(delay(), () => {
					tell({kind: 'polled', callId, outcome: {kind: 'answered', answer}});
				});
			});
		});
	}

	function carryOut(effect: DocumentEffect): void {
		switch (effect.kind) {
			case 'read':
			case 'check':
			case 'watch': {
				callStore(effect);
				break;
			}

			case 'poll': {
				callPeer(effect);
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

			case 'store-restored':
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
		name,
		runs,
		tell,
		takePoll(poll, answer) {
			lastPollId++;
			waiting.set(lastPollId, answer);
			tell({kind: 'poll', pollId: lastPollId, poll});
		},
	};
}

function createMember(name: string): Member {
	return {
		name,
		dataCentre: name.split('-')[0]!,
		address: name,
		incarnation: 1,
		sequence: 0,
		state: 'alive',
		upstreams: [],
	};
}

/**
 * Runs the document machines of two data centres beside a store that comes back
 * from older copies of itself and gives out revisions again, on one simulated
 * clock.
 *
 * In each round the operator writes versions that are then lost, the store comes
 * back, and the operator writes the last version again or a higher one, under a
 * revision below, at or above the one that the nodes follow.
 *
 * @param options - see `StoreRestoreOptions`
 * @returns how late the nodes ran what was acknowledged
 * @example
 * runStoreRestores({seed: 1, rounds: 4, moment: 'at rest', namesEra: true, maxAwayMs: 300});
 */
export function runStoreRestores(
	options: StoreRestoreOptions,
): StoreRestoreRun {
	const {seed, rounds, moment, namesEra, maxAwayMs} = options;
	const {restoresTwice = false, compacts = false} = options;
	const {refusal = 'served', startsNodes = false} = options;
	const scheduler = createScheduler(seed);
	const store = createStore(scheduler, namesEra);
	const nodes = new Map<string, Node>();
	const writes: Array<{readonly version: number; readonly at: number}> = [];
	let refusedNames: ReadonlySet<string> = new Set();
	let missed = 0;

	const pick = (count: number): number =>
		Math.floor(scheduler.random() * count);
	const flip = (): boolean => scheduler.random() < 0.5;

	function startNode(name: string): void {
		nodes.set(
			name,
			createNode(name, {
				scheduler,
				store,
				nodes,
				readRefusal: (node) => (refusedNames.has(node) ? refusal : 'served'),
			}),
		);
		const members = [...nodes.keys()].map((each) => createMember(each));
		for (const node of nodes.values()) {
			node.tell({kind: 'view', members});
		}
	}

	function write(version: number): void {
		store.write(version);
		writes.push({version, at: scheduler.now()});
	}

	/** Writes after the store has come back, up to a revision near the one that the nodes follow. */
	function writeAgain(followed: number): void {
		const {version} = store.read();
		const newest = Math.max(version, ...writes.map((each) => each.version));
		const next = flip() ? newest : newest + 1;
		const others = Math.max(0, followed - store.read().revision + pick(3) - 2);
		const before = pick(others + 1);
		for (let count = 0; count < before; count++) {
			store.writeOther();
		}

		write(Math.max(next, version + 1));
		for (let count = before; count < others; count++) {
			store.writeOther();
		}
	}

	function restore(copy: StoreContent, onBack: () => void): void {
		store.leave();
		scheduler.schedule(scheduler.random() * maxAwayMs, () => {
			store.comeBack(copy, compacts && flip());
			onBack();
		});
	}

	function runRound(round: number): void {
		if (startsNodes) {
			scheduler.schedule(scheduler.random() * 1000, () => {
				startNode(`abdali-${round + 10}`);
			});
		}

		// One root at most in each data centre, and any of the others.
		const refusable = ['abdali-1', 'abdali-3', 'abdali-4', 'sweifieh-2'];
		refusedNames = new Set(
			options.refusedNames ?? refusable.filter(() => flip()),
		);
		if (moment === 'never') {
			write(Math.max(...writes.map(({version}) => version)) + 1);
			return;
		}

		const copy = store.read();
		const lost = 1 + pick(3);
		for (let count = 0; count < lost; count++) {
			write(Math.max(...writes.map(({version}) => version)) + 1 + pick(2));
		}

		const restMs =
			moment === 'at rest'
				? scheduler.random() * 4000
				: scheduler.random() * 4 * maxNetworkMs;
		scheduler.schedule(restMs, () => {
			const followed = store.read().revision;
			restore(copy, () => {
				const againMs = scheduler.random() * 4 * maxNetworkMs;
				scheduler.schedule(againMs, () => {
					if (restoresTwice && flip()) {
						writeAgain(followed);
						restore(copy, () => {
							writeAgain(followed);
						});
					} else {
						writeAgain(followed);
					}
				});
			});
		});
	}

	function countMissed(): number {
		const newest = Math.max(...writes.map(({version}) => version));
		return [...nodes.values()].filter(
			({runs}) => (runs.at(-1)?.version ?? 0) < newest,
		).length;
	}

	for (const name of [
		'abdali-1',
		'abdali-2',
		'abdali-3',
		'abdali-4',
		'sweifieh-1',
		'sweifieh-2',
		'sweifieh-3',
	]) {
		startNode(name);
	}

	write(1);
	for (let round = 0; round < rounds; round++) {
		scheduler.runUntil((round + 1) * roundMs);
		missed += countMissed();
		runRound(round);
	}

	scheduler.runUntil((rounds + 1) * roundMs);
	missed += countMissed();

	let slowestMs = 0;
	let backward = 0;
	for (const {runs} of nodes.values()) {
		const startedAt = runs[0]?.at ?? Number.POSITIVE_INFINITY;
		backward += runs.filter(
			({version}, index) => version < (runs[index - 1]?.version ?? 0),
		).length;
		for (const {version, at} of writes) {
			// A version is acknowledged once more when it is written again after it was lost.
			const run = runs.find((each) => each.version >= version);
			const runAt = run?.at ?? Number.POSITIVE_INFINITY;
			if (at >= startedAt || !startsNodes) {
				slowestMs = Math.max(slowestMs, runAt - at);
			}
		}
	}

	return {slowestMs, missed, backward};
}
