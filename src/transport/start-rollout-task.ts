import {computeRolloutLeader} from '../coordination/rollouts/compute-rollout-leader.js';
import {mergeDirectives} from '../coordination/rollouts/merge-directives.js';
import {pickVersions} from '../coordination/rollouts/pick-versions.js';
import {msPerSecond} from '../protocol/constants.js';
import type {Member, MembersView} from '../protocol/member.js';
import {
	type ChoiceCount,
	type RolloutAnswer,
	type RolloutDirective,
	type RolloutGauge,
	type RolloutReport,
	type RunningGauge,
	type VersionCount,
} from '../protocol/rollout.js';
import {decodeRolloutLists} from '../state/decode-rollout-lists.js';
import {createProblemLog} from './_lib/create-problem-log.js';
import {
	createResponseCounter,
	type CountedResponse,
} from './_lib/create-response-counter.js';
import {createRolloutLeader} from './_lib/create-rollout-leader.js';
import {createVersionStops} from './_lib/create-version-stops.js';
import {createChoiceCounter} from './_lib/rollouts/create-choice-counter.js';
import {createVersionTracker} from './_lib/rollouts/create-version-tracker.js';
import {
	sendRolloutReport,
	type RolloutPeers,
} from './_lib/send-rollout-report.js';
import type {Logger} from './create-logger.js';
import type {RolloutStore} from './rollout-store.js';
import type {VersionPicker} from './version-picker.js';

/** Options of `startRolloutTask`. */
export type RolloutTaskOptions = {
	readonly name: string;
	/** Distinguishes the processes of the node. */
	readonly incarnation: number;
	readonly store: RolloutStore;
	readonly peers: RolloutPeers;
	readonly logger: Pick<Logger, 'debug' | 'info' | 'warn'>;
	/** Monotonic time, ms; default `performance.now`. */
	readonly now?: () => number;
	/** Returns a number from 0 up to, but not including, 1; default `Math.random`. */
	readonly random?: () => number;
};

/** Task that applies roll-outs on this node, and leads them while it is the leader. */
export type RolloutTask = VersionPicker & {
	updateMembers(view: MembersView): void;
	handleReport(report: RolloutReport): RolloutAnswer;
	/** Whether responses of a service are counted. */
	isCounting(service: string): boolean;
	recordResponse(response: CountedResponse): void;
	listGauges(): readonly RolloutGauge[];
	/** Returns the running version of each service that has one. */
	listRunning(): readonly RunningGauge[];
	/** Returns the versions chosen for requests on this node. */
	listChoices(): readonly ChoiceCount[];
	/** Returns the responses of upstreams on this host during the current roll-outs. */
	listCounts(): readonly VersionCount[];
	stop(): void;
};

const reportIntervalMs = msPerSecond / 2;

/**
 * Time after the last directive from which a node sends nothing to a target, ms: a
 * node that is cut off may not hear that the target was rolled back, and must have
 * stopped within 5 s.
 */
const directiveLifetimeMs = 3 * msPerSecond;

type KnownDirective = {
	readonly directive: RolloutDirective;
	readonly receivedAt: number;
};

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
	const {name, incarnation, peers, logger} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	const directives = new Map<string, KnownDirective>();
	const stops = createVersionStops(now);
	const logUnreadable = createProblemLog({
		logger,
		message: 'part of a message not readable',
		now,
	});
	const tracker = createVersionTracker(logger);
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
		readVersions: tracker.read,
		countHosts: (service, version) =>
			(view?.candidates.get(service) ?? []).filter((candidate) =>
				candidate.versions?.includes(version),
			).length,
		countLiveNodes: () =>
			(view?.members ?? []).filter(({state}) => state === 'alive').length,
		readKnown(service) {
			const known = directives.get(service);
			return known && readNow(known);
		},
		onDirectives() {
			applyDirectives(leader.listDirectives());
		},
	});

	/** Returns a directive with the time that is left now. */
	function readNow({directive, receivedAt}: KnownDirective): RolloutDirective {
		const remainingMs = directive.remainingMs - (now() - receivedAt);
		return {...directive, remainingMs};
	}

	function updateVersions(): void {
		const known = [...directives.values()].map(({directive}) => directive);
		tracker.update(view?.members ?? [], known);
		if (!tracker.hasRestricted()) {
			counter = createResponseCounter();
		}

		schedule();
	}

	function applyDirectives(received: readonly RolloutDirective[]): void {
		let hasChanged = false;
		for (const directive of received) {
			const {service} = directive;
			const before = directives.get(service)?.directive;
			const after = mergeDirectives(before, directive);
			if (after === directive) {
				directives.set(service, {directive, receivedAt: now()});
			}

			hasChanged ||=
				after.state !== before?.state || after.target !== before.target;
			if (after.state !== before?.state || after.share !== before.share) {
				logger.info('roll-out directive', {
					service,
					version: after.target,
					state: after.state,
					share: after.share,
				});
			}
		}

		if (hasChanged) {
			updateVersions();
		}
	}

	function createReport(): RolloutReport {
		return {
			from: name,
			incarnation,
			counts: counter.list(),
			directives: [...directives.values()].map((known) => readNow(known)),
		};
	}

	function receiveAnswer(answer: RolloutAnswer, source: string): void {
		const decoded = decodeRolloutLists(answer);
		logUnreadable(decoded.unreadable, source);
		tracker.merge(decoded.running, source);
		applyDirectives(decoded.directives);
	}

	async function report(): Promise<void> {
		const receiver = leaderMember;
		if (!receiver || isReporting) {
			return;
		}

		if (receiver.name === name) {
			handleReport(createReport());
			return;
		}

		isReporting = true;
		const {address} = receiver;
		const answer = await sendRolloutReport(peers, address, createReport());
		isReporting = false;
		if (answer.isOk()) {
			receiveAnswer(answer.value, address);
		} else {
			logger.debug('roll-out not reported', {address, error: answer.error});
		}
	}

	/** Reports at intervals while a service has upstreams that may not get requests. */
	function schedule(): void {
		if (!tracker.hasRestricted() || isStopped) {
			clearInterval(timer);
			timer = undefined;
		} else if (!timer) {
			timer = setInterval(() => {
				void report();
			}, reportIntervalMs);
			timer.unref();
			void report();
		}
	}

	function listRunning(): readonly RunningGauge[] {
		return [...tracker.read()].flatMap(([service, {running, isCertain}]) =>
			running === undefined ? [] : [{service, version: running, isCertain}],
		);
	}

	function handleReport(received: RolloutReport): RolloutAnswer {
		const {counts, ...decoded} = decodeRolloutLists(received);
		logUnreadable(decoded.unreadable, received.from);
		leader.recordCounts({...received, counts});
		// A node that has just started may have become the leader.
		applyDirectives(
			decoded.directives.filter(({service, order}) => {
				const known = directives.get(service)?.directive.order;
				return known === undefined || known === order;
			}),
		);
		return {
			directives: leader.listDirectives(),
			running: listRunning().filter(({isCertain}) => isCertain),
		};
	}

	function isTargetStopped(
		service: string,
		{receivedAt}: KnownDirective,
	): boolean {
		return now() - receivedAt > directiveLifetimeMs || stops.isStopped(service);
	}

	return {
		pick(service, isRetry) {
			const restricted = tracker.readRestricted(service);
			if (!restricted) {
				return undefined;
			}

			const known = directives.get(service);
			const directive = known?.directive;
			const {running} = restricted;
			const isHalted = known !== undefined && isTargetStopped(service, known);
			const facts = {running, directive, isStopped: isHalted};
			const hosts = directive?.hosts;
			return {
				versions: pickVersions(facts, isRetry, random()),
				limited:
					hosts === undefined ? undefined : {version: directive!.target, hosts},
				mayFallBack: directive?.state === 'active' && directive.share < 1,
			};
		},
		recordChoice: choices.record,
		recordAttempt(service, version, isFailed) {
			if (directives.get(service)?.directive.target !== version) {
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
			leaderMember = computeRolloutLeader(next);
			leader.setLeading(leaderMember.name === name && !isStopped);
		},
		handleReport,
		isCounting: (service) => tracker.readRestricted(service) !== undefined,
		recordResponse(response) {
			counter.record(response);
		},
		listRunning,
		listChoices: choices.list,
		listCounts: () => counter.list(),
		listGauges: () => [...directives.values()].map(({directive}) => directive),
		stop() {
			isStopped = true;
			schedule();
			leader.stop();
		},
	};
}
