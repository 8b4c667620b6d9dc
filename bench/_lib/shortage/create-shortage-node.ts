import type {Scheduler} from '../../../harness/create-scheduler.js';
import {computeRetryShare} from '../../../src/coordination/compute-retry-share.js';
import type {Candidate} from '../../../src/protocol/member.js';
import type {ClientAnswer, ClientTry} from './client-try.js';
import {createEventLoop, type EventLoop} from './create-event-loop.js';
import {createShortageCaller} from './create-shortage-caller.js';
import {createShortageGate, type ShortageGate} from './create-shortage-gate.js';
import type {AttemptEnd, ShortageAttempt} from './shortage-attempt.js';
import {createShortageRouter} from './create-shortage-router.js';
import {createShortageUpstream} from './create-shortage-upstream.js';
import type {ShortageDecisions} from './shortage-decisions.js';
import type {
	RequestClass,
	ShortageHost,
	StepCosts,
} from './shortage-parameters.js';

/** Options of `createShortageNode`. */
export type ShortageNodeOptions = {
	readonly scheduler: Scheduler;
	readonly host: ShortageHost;
	readonly classes: ReadonlyMap<string, RequestClass>;
	readonly decisions: ShortageDecisions;
	readonly costs: StepCosts;
	/** Share of a core. */
	readonly share: number;
	/** When it started; a node that was started earlier is warm, ms. */
	readonly coldSince: number;
	readonly nodeCount: number;
	readonly listCandidates: (service: string) => readonly Candidate[];
	readonly findNode: (host: string) => ShortageNode | undefined;
	/** Computes the time of a message to another host, ms. */
	readonly computeLinkMs: (host: ShortageHost) => number;
	readonly onRunEnd: (
		requestClass: RequestClass,
		status: 'ok' | 'calls-failed' | 'deadline',
	) => void;
};

/** A node with the upstream of its host, in virtual time. */
export type ShortageNode = {
	readonly host: ShortageHost;
	readonly loop: EventLoop;
	/** Whether clients and other nodes send requests to it. */
	isReady(): boolean;
	isStopped(): boolean;
	receive(clientTry: ClientTry, isNew: boolean, linkMs: number): void;
	/** Takes in an attempt from another node. */
	receiveAttempt(attempt: ShortageAttempt, linkMs: number): void;
	drain(): void;
	/** Ends it with all that it works on. */
	stop(): void;
};

/** Requests for which a node that has started pays more. */
const coldRequests = 1000;
const coldCostFactor = 1.5;
const upstreamLinkMs = 0.1;
/** Retries of all nodes together. */
const retryBounds = {ratio: 0.2, slack: 50, windowMs: 10_000};

/**
 * Creates a node in virtual time.
 *
 * @param options - see `ShortageNodeOptions`
 * @returns the running node
 */
export function createShortageNode(options: ShortageNodeOptions): ShortageNode {
	const {scheduler, host, decisions, costs, coldSince} = options;
	const {now, random} = scheduler;
	const isCold = Number.isFinite(coldSince);
	const openTries = new Map<ClientTry, (answer: ClientAnswer) => void>();
	const openAttempts = new Map<ShortageAttempt, (end: AttemptEnd) => void>();
	let readRequests = 0;
	let state: 'ready' | 'leaving' | 'stopped' = 'ready';
	const loop = createEventLoop({
		scheduler,
		share: options.share,
		acceptMs: costs.acceptMs,
		acceptsPerTurn: decisions.acceptsPerTurn,
		releasesPerTurn: decisions.releasesPerTurn,
		deferredMs: decisions.deferredMs,
		readCostFactor: () =>
			isCold && readRequests < coldRequests ? coldCostFactor : 1,
	});
	const admission = decisions.createAdmission();
	const router = createShortageRouter({
		host,
		decisions,
		listCandidates: options.listCandidates,
		readLag: loop.readLag,
		now,
		random,
	});
	const upstream = createShortageUpstream({
		scheduler,
		host,
		classes: options.classes,
		coldSince,
		call({requestClass, deadlineMs, onEnd}) {
			receive(
				{
					requestClass,
					deadlineMs,
					isCall: true,
					hasLeft: false,
					isRead: false,
					onLeave: undefined,
					onRun: undefined,
					answer({status}) {
						onEnd(status === 200);
					},
				},
				false,
				upstreamLinkMs,
			);
		},
	});
	const gate: ShortageGate = createShortageGate({
		loop,
		upstream: {
			run(run) {
				upstream.run({
					...run,
					onEnd(status) {
						if (state !== 'stopped') {
							options.onRunEnd(run.requestClass, status);
							run.onEnd(status);
						}
					},
				});
			},
		},
		decisions,
		admission,
		costs,
		now,
		random,
	});

	function runAttempt(name: string, attempt: ShortageAttempt): void {
		if (name === host.name) {
			const work = gate.handle(attempt, 0);
			loop.charge(work.costMs);
			work.finish?.();
			return;
		}

		const target = options.findNode(name)!;
		const linkMs = options.computeLinkMs(target.host);
		loop.charge(costs.sendMs);
		scheduler.schedule(linkMs, () => {
			target.receiveAttempt(
				{
					...attempt,
					onEnd(end) {
						loop.read(() => ({
							costMs:
								end.kind === 'answered' ? costs.answerMs : costs.refusalMs,
							finish() {
								attempt.onEnd(end);
							},
						}));
					},
				},
				linkMs,
			);
		});
	}

	const caller = createShortageCaller({
		loop,
		router,
		decisions,
		admission,
		costs,
		runAttempt,
		retryBudget: computeRetryShare(retryBounds, options.nodeCount),
		now,
		random,
		onRead() {
			readRequests++;
		},
	});

	function receive(clientTry: ClientTry, isNew: boolean, linkMs: number): void {
		const {answer} = clientTry;
		function answerOpen(given: ClientAnswer): void {
			if (openTries.delete(clientTry)) {
				scheduler.schedule(linkMs, () => {
					answer(given);
				});
			}
		}

		if (state === 'stopped') {
			answer({status: 'closed'});
			return;
		}

		openTries.set(clientTry, answer);
		if (isNew) {
			loop.accept((accepted) => caller.read(clientTry, answerOpen, accepted));
		} else {
			loop.read(() => caller.read(clientTry, answerOpen));
		}
	}

	return {
		host,
		loop,
		isReady: () => state === 'ready',
		isStopped: () => state === 'stopped',
		receive,
		receiveAttempt(attempt, linkMs) {
			function end(result: AttemptEnd): void {
				if (openAttempts.delete(attempt)) {
					scheduler.schedule(linkMs, () => {
						attempt.onEnd(result);
					});
				}
			}

			openAttempts.set(attempt, end);
			if (state === 'stopped') {
				end({kind: 'lost', load: undefined, lagMs: 0});
				return;
			}

			readRequests++;
			loop.read(() => gate.handle({...attempt, onEnd: end}, costs.gateReadMs));
		},
		drain() {
			state = 'leaving';
		},
		stop() {
			state = 'stopped';
			loop.stop();
			for (const answer of openTries.values()) {
				answer({status: 'closed'});
			}

			for (const end of openAttempts.values()) {
				end({kind: 'lost', load: undefined, lagMs: 0});
			}

			openTries.clear();
		},
	};
}
