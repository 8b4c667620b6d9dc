import {computeRolloutLeader} from '../coordination/rollouts/compute-rollout-leader.js';
import {msPerSecond} from '../protocol/constants.js';
import type {Member, MembersView} from '../protocol/member.js';
import type {
	RolloutAnswer,
	RolloutDirective,
	RolloutReport,
} from '../protocol/rollout.js';
import {decodeRolloutLists} from '../state/decode-rollout-lists.js';
import {createProblemLog} from './_lib/create-problem-log.js';
import {createResponseCounter} from './_lib/create-response-counter.js';
import {createRolloutLeader} from './_lib/create-rollout-leader.js';
import {createVersionStops} from './_lib/create-version-stops.js';
import {createChoiceCounter} from './_lib/rollouts/create-choice-counter.js';
import {
	createDirectiveStore,
	type HeardDirective,
} from './_lib/rollouts/create-directive-store.js';
import {
	createVersionChoice,
	noChoice,
} from './_lib/rollouts/create-version-choice.js';
import {createVersionTracker} from './_lib/rollouts/create-version-tracker.js';
import {startSettling} from './_lib/rollouts/start-settling.js';
import {
	sendRolloutReport,
	type RolloutPeers,
} from './_lib/send-rollout-report.js';
import type {Logger} from './create-logger.js';
import type {RolloutStore} from './rollout-store.js';
import type {RolloutTask} from './rollout-task.js';

/** Options of `startRolloutTask`. */
export type RolloutTaskOptions = {
	readonly name: string;
	/** Distinguishes the processes of the node. */
	readonly incarnation: number;
	readonly store: RolloutStore;
	readonly peers: RolloutPeers;
	readonly logger: Pick<Logger, 'debug' | 'info' | 'warn'>;
	/** Whether the node knows the members of its data centre; true by default. */
	readonly hasJoined?: () => boolean;
	/** Monotonic time, ms; default `performance.now`. */
	readonly now?: () => number;
	/** Wall-clock ms; default `Date.now`. */
	readonly wallNow?: () => number;
	/** Returns a number from 0 up to, but not including, 1; default `Math.random`. */
	readonly random?: () => number;
};

const reportIntervalMs = msPerSecond / 2;

/**
 * Time after the last directive from which a node sends nothing to a target, ms: a
 * node that is cut off may not hear that the target was rolled back, and must have
 * stopped within 5 s.
 */
const directiveLifetimeMs = 3 * msPerSecond;

/**
 * Starts the task that applies roll-outs. It does nothing as long as each service
 * has upstreams of one version only, except that the leader watches the orders.
 *
 * @param options - see `RolloutTaskOptions`
 * @returns the running task
 * @example
 * startRolloutTask({name, incarnation, store, peers, logger}).pick('a', false); // undefined
 */
export function startRolloutTask(options: RolloutTaskOptions): RolloutTask {
	const {name, incarnation, peers, logger, random = Math.random} = options;
	const {now = () => performance.now(), hasJoined = () => true} = options;
	const directives = createDirectiveStore({logger, now});
	const stops = createVersionStops(now);
	const logUnreadable = createProblemLog({
		logger,
		message: 'part of a message not readable',
		now,
	});
	const tracker = createVersionTracker({
		logger,
		now,
		readMembers: () => view?.members ?? [],
		readDirectives: directives.list,
	});
	const choices = createChoiceCounter({logger, now});
	let counter = createResponseCounter();
	let view: MembersView | undefined;
	let leaderMember: Member | undefined;
	let timer: NodeJS.Timeout | undefined;
	let isReporting = false;
	let isStopped = false;

	const leader = createRolloutLeader({
		store: options.store,
		logger,
		now,
		wallNow: options.wallNow,
		readVersions: tracker.read,
		countHosts: (service, version) =>
			(view?.candidates.get(service) ?? []).filter((candidate) =>
				candidate.versions?.includes(version),
			).length,
		countLiveNodes: () =>
			(view?.members ?? []).filter(({state}) => state === 'alive').length,
		readKnown: directives.readNow,
		onDirectives() {
			applyDirectives(leader.listDirectives());
		},
		onOrders(started) {
			tracker.settle({running: [], started}, 'store');
			schedule();
		},
	});

	function updateVersions(): void {
		tracker.update();
		if (!tracker.hasRestricted()) {
			counter = createResponseCounter();
		}

		schedule();
	}

	function applyDirectives(received: readonly RolloutDirective[]): void {
		if (directives.apply(received)) {
			updateVersions();
		}
	}

	/** Begins or ends to lead; a node that does not know its data centre's members yet would always be the first. */
	function updateLeader(): void {
		if (view) {
			leaderMember = computeRolloutLeader(view);
			const isFirst = leaderMember.name === name;
			leader.setLeading(isFirst && !isStopped && hasJoined());
		}
	}

	function createReport(): RolloutReport {
		return {
			from: name,
			incarnation,
			counts: counter.list(),
			directives: directives.list(),
			running: tracker.knowsOrders() ? tracker.listRunning() : [],
		};
	}

	function receiveAnswer(answer: RolloutAnswer, source: string): void {
		const decoded = decodeRolloutLists(answer);
		logUnreadable(decoded.unreadable, source);
		applyDirectives(decoded.directives);
		if (answer.isSettled) {
			tracker.settle(decoded, source);
			schedule();
		}
	}

	async function report(): Promise<void> {
		updateLeader();
		const receiver = leaderMember;
		if (!receiver || isReporting || !hasJoined()) {
			return;
		}

		if (receiver.name === name) {
			leader.recordCounts({from: name, incarnation, counts: counter.list()});
			return;
		}

		isReporting = true;
		await sendReport(receiver.address);
		isReporting = false;
	}

	async function sendReport(address: string): Promise<void> {
		const answer = await sendRolloutReport(peers, address, createReport());
		if (answer.isOk()) {
			receiveAnswer(answer.value, address);
		} else {
			logger.debug('roll-out not reported', {address, error: answer.error});
		}
	}

	/** Reports at intervals while a service has upstreams that may not get requests. */
	function schedule(): void {
		if (isStopped || !tracker.hasRestricted()) {
			clearInterval(timer);
			timer = undefined;
		} else if (!timer) {
			timer = setInterval(() => {
				tracker.update();
				void report();
			}, reportIntervalMs);
			timer.unref();
			void report();
		}
	}

	function handleReport(received: RolloutReport): RolloutAnswer {
		const {counts, ...decoded} = decodeRolloutLists(received);
		logUnreadable(decoded.unreadable, received.from);
		leader.recordCounts({...received, counts});
		// A node that has just started may have become the leader.
		applyDirectives(
			decoded.directives.filter(({service, order}) => {
				const known = directives.read(service)?.directive.order;
				return known === undefined || known === order;
			}),
		);
		tracker.merge(decoded.running, received.from);
		schedule();
		const isSettled = tracker.knowsOrders();
		return {
			directives: leader.listDirectives(),
			running: isSettled ? tracker.listRunning() : [],
			started: tracker.listStarted(),
			isSettled,
		};
	}

	/** Whether the node sends nothing to a target, for lack of a recent directive or by its own evidence. */
	function isHalted(
		service: string,
		heard: HeardDirective | undefined,
	): boolean {
		return (
			heard !== undefined &&
			(now() - heard.receivedAt > directiveLifetimeMs ||
				stops.isStopped(service))
		);
	}

	const stopSettling = startSettling({
		hasJoined,
		isDone: tracker.knowsOrders,
		listOthers: () =>
			(view?.members ?? []).filter((member) => member.name !== name),
		readLeader() {
			updateLeader();
			return leaderMember?.name === name ? undefined : leaderMember;
		},
		ask: sendReport,
		random,
	});

	return {
		pick(service, isRetry) {
			if (!tracker.isSettled()) {
				return noChoice;
			}

			const known = tracker.read().get(service);
			if (!known?.isRestricted) {
				return undefined;
			}

			const heard = directives.read(service);
			return createVersionChoice({
				running: known.running?.version,
				directive: heard?.directive,
				isStopped: isHalted(service, heard),
				isRetry,
				random: random(),
			});
		},
		recordChoice: choices.record,
		recordAttempt(service, version, isFailed) {
			if (directives.read(service)?.directive.target !== version) {
				return;
			}

			if (stops.record(service, isFailed)) {
				logger.warn('version left out', {service, version});
				void report();
			}
		},
		updateMembers(next) {
			view = next;
			updateVersions();
			updateLeader();
		},
		handleReport,
		isCounting: (service) => tracker.read().get(service)?.isRestricted === true,
		recordResponse(response) {
			counter.record(response);
		},
		isSettled: tracker.isSettled,
		listRunning: tracker.listRunning,
		listChoices: choices.list,
		listCounts: () => counter.list(),
		listGauges: directives.list,
		stop() {
			isStopped = true;
			stopSettling();
			schedule();
			leader.stop();
		},
	};
}
