import {findOrderProblem} from '../../coordination/rollouts/find-order-problem.js';
import type {ServiceVersions} from '../../coordination/rollouts/step-running-versions.js';
import {
	stepRollout,
	type RolloutProgress,
} from '../../coordination/rollouts/step-rollout.js';
import {msPerSecond} from '../../protocol/constants.js';
import type {
	RolloutDirective,
	StartedTarget,
	StoredRollout,
} from '../../protocol/rollout.js';
import type {Logger} from '../create-logger.js';
import type {RolloutStore} from '../rollout-store.js';
import {createCountTable, type NodeCounts} from './create-count-table.js';
import {createOrderProblemLog} from './create-order-problem-log.js';
import {createOrderWatch} from './create-order-watch.js';
import {
	createDirective,
	createProgress,
	isDirectiveFor,
	isFinalOrder,
	isStartedOrder,
} from './order-directive.js';
import {createStatusWriter} from './create-status-writer.js';
import {
	createOrderStarter,
	takeOverSequence,
} from './rollouts/create-order-starter.js';

/** Options of `createRolloutLeader`. */
export type RolloutLeaderOptions = {
	readonly store: RolloutStore;
	readonly logger: Pick<Logger, 'info' | 'warn'>;
	/** Monotonic ms. */
	readonly now: () => number;
	/** Wall-clock ms; default `Date.now`. */
	readonly wallNow?: (() => number) | undefined;
	readonly readVersions: () => ReadonlyMap<string, ServiceVersions>;
	/** Returns the number of hosts that have a ready upstream of a version. */
	readonly countHosts: (service: string, version: string) => number;
	readonly countLiveNodes: () => number;
	/** Returns the directive that this node knows from an earlier leader, with the time left now. */
	readonly readKnown: (service: string) => RolloutDirective | undefined;
	/** Called with the targets of the orders that an earlier leader has started, once the orders were read and after each change. */
	readonly onOrders: (started: readonly StartedTarget[]) => void;
	/** Called when the directives may have changed. */
	readonly onDirectives: () => void;
};

/** Leads the roll-outs of all services while this node is the leader. */
export type RolloutLeader = {
	/** Begins or ends to lead. */
	setLeading(isLeading: boolean): void;
	recordCounts(report: NodeCounts): void;
	listDirectives(): readonly RolloutDirective[];
	stop(): void;
};

const stepIntervalMs = msPerSecond / 4;

/** Time for which a new leader only listens, ms: two report intervals, in which it hears of the orders that an earlier one has led. */
const listenMs = msPerSecond;

/**
 * Creates the leader of roll-outs, which does nothing until it leads.
 *
 * @param options - see `RolloutLeaderOptions`
 * @returns the leader
 */
export function createRolloutLeader(
	options: RolloutLeaderOptions,
): RolloutLeader {
	const {store, logger, now, wallNow = Date.now, onDirectives} = options;
	const orders = new Map<string, StoredRollout>();
	const rollouts = new Map<string, RolloutProgress>();
	const firstSeen = new Map<
		string,
		Pick<StoredRollout, 'target' | 'revision'>
	>();
	const reportProblem = createOrderProblemLog(logger);
	const counts = createCountTable(now);
	let timer: NodeJS.Timeout | undefined;
	let isLeading = false;
	let leadsFrom = 0;

	const starter = createOrderStarter({...options, wallNow, onReady: step});
	const writer = createStatusWriter({
		store,
		logger,
		onOrder(order) {
			orders.set(order.name, order);
		},
	});
	const watch = createOrderWatch({
		store,
		logger,
		onOrders(changed, removed, isComplete) {
			if (isComplete) {
				orders.clear();
			}

			for (const name of removed) {
				orders.delete(name);
			}

			for (const order of changed) {
				orders.set(order.name, order);
			}

			options.onOrders(listStarted());
			step();
		},
	});

	function listStarted(): readonly StartedTarget[] {
		return [...orders.values()]
			.filter((order) => !isFinalOrder(order) && isStartedOrder(order))
			.map(({service, target}) => ({service, version: target}));
	}

	/** Returns an order with the revision at which it was first seen with its target. */
	function readAsSeen(order: StoredRollout): StoredRollout {
		const {name, target, revision} = order;
		const known = firstSeen.get(name);
		const first = known?.target === target ? known : {target, revision};
		firstSeen.set(name, first);
		return {...order, revision: first.revision};
	}

	/** Tells whether another leader has taken an order over, so that nodes ignore the directives of this one. */
	function isReplaced({service, order, sequence}: RolloutDirective): boolean {
		const heard = options.readKnown(service);
		return heard?.order === order && heard.sequence > sequence;
	}

	function stepOrder(order: StoredRollout): void {
		const {service, target} = order;
		const known = rollouts.get(service);
		const isKnown = known && isDirectiveFor(known.directive, order);
		const before =
			isKnown && !isReplaced(known.directive) ? known : starter.begin(order);
		if (!before) {
			return;
		}

		if (before.directive.state !== 'active') {
			rollouts.set(service, before);
			writer.write(order, before.directive.state);
			return;
		}

		const {progress, decision} = stepRollout(before, {
			now: now(),
			counts: counts.read(),
			targetHosts: options.countHosts(service, target),
			isInformed: counts.countReporting() * 2 > options.countLiveNodes(),
		});
		rollouts.set(service, progress);
		const {state, share, hosts} = progress.directive;
		if (progress.directive.sequence !== before.directive.sequence) {
			logger.info('roll-out changed', {
				service,
				version: target,
				state,
				share,
				hosts,
				remainingMs: Math.round(progress.directive.remainingMs),
				...(decision.kind === 'roll-back' && {
					cause: decision.cause,
					...decision.verdict,
				}),
			});
		}

		writer.write(order, state);
	}

	/** Takes over the final state of an order from its stored status. */
	function adoptFinal(order: StoredRollout): void {
		const known = rollouts.get(order.service);
		const directive = createDirective(order);
		const isAdopted =
			known?.directive.target === order.target &&
			known.directive.state === directive.state;
		if (!isAdopted) {
			const isKnown = known && isDirectiveFor(known.directive, order);
			const adopted = {
				...directive,
				order: isKnown ? known.directive.order : directive.order,
				sequence: takeOverSequence,
			};
			const seenAt = now() - directive.durationMs;
			rollouts.set(order.service, createProgress(adopted, seenAt));
		}
	}

	function adoptAllFinal(
		all: readonly StoredRollout[],
		busy: ReadonlySet<string>,
	): void {
		for (const order of all) {
			if (isFinalOrder(order) && !busy.has(order.service)) {
				adoptFinal(order);
			}
		}
	}

	function step(): void {
		if (!isLeading) {
			return;
		}

		const all = [...orders.values()].toSorted(
			(a, b) => a.revision - b.revision,
		);
		const open = all.filter((order) => !isFinalOrder(order));
		if (now() < leadsFrom) {
			// A final state needs nothing that others know.
			adoptAllFinal(all, new Set(open.map(({service}) => service)));
			onDirectives();
			schedule(true);
			return;
		}

		const asSeen = open.map((order) => readAsSeen(order));
		const versions = options.readVersions();
		const usable = open.filter((order, index) => {
			const problem = findOrderProblem(asSeen[index]!, asSeen, versions);
			const isRunning =
				rollouts.get(order.service)?.directive.target === order.target;
			const isUsable =
				problem === undefined || (problem === 'already runs' && isRunning);
			reportProblem(order, isUsable ? undefined : problem);
			return isUsable;
		});
		const busy = new Set(usable.map(({service}) => service));
		adoptAllFinal(all, busy);
		for (const order of usable) {
			stepOrder(order);
		}

		for (const service of rollouts.keys()) {
			if (!all.some((order) => order.service === service)) {
				rollouts.delete(service);
			}
		}

		onDirectives();
		schedule(open.length > 0);
	}

	function schedule(isNeeded: boolean): void {
		clearTimeout(timer);
		timer = isNeeded ? setTimeout(step, stepIntervalMs) : undefined;
		timer?.unref();
	}

	return {
		setLeading(shouldLead) {
			if (shouldLead === isLeading) {
				return;
			}

			isLeading = shouldLead;
			if (shouldLead) {
				leadsFrom = now() + listenMs;
				watch.start();
				return;
			}

			watch.stop();
			schedule(false);
			orders.clear();
			rollouts.clear();
			firstSeen.clear();
			starter.clear();
			counts.clear();
		},
		recordCounts(report) {
			if (isLeading) {
				counts.record(report);
			}
		},
		listDirectives: () =>
			[...rollouts.values()].map(({directive, seenAt}) => ({
				...directive,
				remainingMs: seenAt + directive.durationMs - now(),
			})),
		stop() {
			isLeading = false;
			watch.stop();
			schedule(false);
		},
	};
}
