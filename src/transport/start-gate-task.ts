import {randomUUID} from 'node:crypto';
import {Readable} from 'node:stream';
import {createLedger} from '../coordination/create-ledger.js';
import {computeRetryAfter} from '../coordination/compute-retry-after.js';
import {
	decideAdmission,
	type Admission,
	type AdmissionInput,
} from '../coordination/decide-admission.js';
import {computeRemainingTime} from '../coordination/compute-remaining-time.js';
import {computeTransitTime} from '../coordination/compute-transit-time.js';
import {decideEventLoopAdmission} from '../coordination/decide-event-loop-admission.js';
import {readServiceTime} from '../coordination/read-service-time.js';
import {readUtilization} from '../coordination/read-utilization.js';
import {stepUtilization} from '../coordination/step-utilization.js';
import type {LedgerStep} from '../coordination/step-ledger-record.js';
import type {
	Attempt,
	AttemptQuery,
	AttemptResult,
	GateLoad,
	UpstreamNotice,
} from '../protocol/attempt.js';
import type {CancelSignal} from '../protocol/cancel-signal.js';
import {queueSlotsRatio, retryAfterSeconds} from '../protocol/constants.js';
import type {Announcement} from '../protocol/member.js';
import type {RequestObserver} from '../protocol/observer.js';
import {
	emptyReport,
	type ResponseHead,
	type Edge,
	type UpstreamReport,
} from '../protocol/edge.js';
import type {OutcomeReason} from '../protocol/request.js';
import type {GateStamp} from '../protocol/stamp.js';
import {createReportLog} from './_lib/create-report-log.js';
import {createJobRunner} from './_lib/create-job-runner.js';
import {createLostRequestDetector} from './_lib/create-lost-request-detector.js';
import {
	applyRemoteNotice,
	isEarlierIncarnation,
	isSameIncarnation,
	recordReport,
} from './_lib/local-notice.js';
import {computeLocalOpenSlots} from './_lib/local-slots.js';
import {
	computeLocalWait,
	countAhead,
	createLocalUpstream,
	findLocalUpstream,
	findLongestQueue,
	readExpectedServiceTime,
	readLocalLoad,
	readOccupiedSlots,
	type Job,
	type LocalUpstream,
	type LocalWait,
} from './_lib/local-upstream.js';
import {raceResult} from './_lib/race-result.js';
import {reportGateEvent} from './_lib/report-gate-event.js';
import {startPostPollTimer} from './_lib/start-post-poll-timer.js';
import type {Logger} from './create-logger.js';
import {defaultEdge} from './default-edge.js';

/** Options of `startGateTask`. */
export type GateTaskOptions = {
	readonly logger: Logger;
	readonly observer?: RequestObserver;
	/** How late the event loop runs, ms; not regarded when absent. */
	readonly readLag?: () => number;
	/** Asks an upstream for its load; undefined when it does not tell. */
	readonly probeLoad?: (
		announcement: Announcement,
	) => Promise<GateLoad | undefined>;
	/** Headers that the upstreams understand; the project's own when absent. */
	readonly edge?: Edge;
	/** Called when an upstream is found to leave, other than by its announcement. */
	readonly onLeaving?: (id: string, announcement: Announcement) => void;
	/** Random name of the process; a new UUID when absent. */
	readonly epoch?: string;
	/** Monotonic ms; `performance.now` when absent. */
	readonly now?: () => number;
	/** Numbers from 0 up to 1; `Math.random` when absent. */
	readonly random?: () => number;
};

/** What an attempt can expect at an upstream. */
type Expectation = LocalWait &
	Pick<AdmissionInput, 'serviceMs' | 'meanServiceMs'>;

/** The task that alone sends requests to the upstreams on its host. */
export type GateTask = {
	announce(id: string, announcement: Announcement): void;
	withdraw(id: string): void;
	/**
	 * Gives an announcement as it holds: an upstream that has said in an answer
	 * that it leaves is not ready any more, whatever a late announcement says.
	 */
	reviseAnnouncement(id: string, announcement: Announcement): Announcement;
	/** Takes in what an upstream has reported outside of an attempt. */
	handleReport(id: string, report: UpstreamReport, load?: GateLoad): void;
	/**
	 * Refuses an attempt by its head, before its body has come; undefined when it
	 * may be taken. The attempt must not be run after a refusal.
	 */
	refuseBeforeBody(attempt: Attempt): AttemptResult | undefined;
	runAttempt(attempt: Attempt): Promise<AttemptResult>;
	/** Tells what became of an attempt, fencing one that has not arrived. */
	ask(question: AttemptQuery): LedgerStep['answer'];
	/** Waits for the answer of an attempt, or gives the kept one. */
	fetchAnswer(
		id: string,
		remainingMs: number,
		signal: CancelSignal,
	): Promise<AttemptResult>;
	/**
	 * Ends an attempt whose answer nobody wants any more, fencing one that has
	 * not arrived.
	 */
	cancel(question: AttemptQuery): void;
	/** Ends an attempt that still waits, and lets one that runs go on. */
	cancelQueued(id: string): void;
	readStamp(): GateStamp;
	/** Lowest rate limit that an upstream here names, requests a second; undefined when none does. */
	readRateLimit(): number | undefined;
	/** Refuses new attempts and waits for those in flight. */
	drain(): Promise<void>;
	stop(): Promise<void>;
};

/**
 * Starts the gate of a host.
 *
 * @param options - see `GateTaskOptions`
 * @returns the running task
 * @example
 * startGateTask({logger}).readStamp().epoch;
 */
export function startGateTask(options: GateTaskOptions): GateTask {
	const {observer = {}, edge = defaultEdge, epoch = randomUUID()} = options;
	const {readLag = () => 0} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	const upstreams = new Map<string, LocalUpstream>();
	const ledger = createLedger<AttemptResult>({epoch});
	let isDraining = false;

	function refuse(
		kind: 'not-run' | 'unknown',
		reason: OutcomeReason,
		upstream?: LocalUpstream,
		retryAfter = retryAfterSeconds,
	): AttemptResult {
		const at = now();
		const load = upstream && readLocalLoad(upstream, at);
		const stamp = ledger.readStamp(at);
		return {kind, reason, retryAfterSeconds: retryAfter, load, stamp};
	}

	const reportLog = createReportLog({logger: options.logger, now});

	/** Acts on what an upstream is now known to have said of itself. */
	function applyNotice(upstream: LocalUpstream): void {
		if (upstreams.get(upstream.id) !== upstream) {
			// A later life has taken its place.
			return;
		}

		const {id, announcement, isLeaving} = upstream;
		if (isLeaving && announcement.state !== 'leaving') {
			upstream.announcement = {...announcement, state: 'leaving'};
			runner.dropQueued(upstream);
			options.onLeaving?.(id, upstream.announcement);
			return;
		}

		runner.dropRateLimited(upstream);
		runner.startJobs(upstream);
	}

	/** Takes in what the head of an answer says of its upstream. */
	function noteHead(job: Job, {status, headers}: ResponseHead): void {
		const {upstream, attempt, sentAt} = job;
		const load = edge.readLoad(headers);
		if (load) {
			silenceWatch.recordLoad(upstream, load);
		}

		const report = edge.readReport(headers);
		const hadLimit = upstream.rateLimit !== undefined;
		if (report === emptyReport && !hadLimit && upstream.hasReported) {
			return;
		}

		const verdict = edge.classifyResponse({status, headers}, attempt);
		const {id} = upstream;
		const {service} = attempt;
		reportLog.record({id, service, report, status, verdict});
		recordReport(upstream, {report, verdict, sentAt}, now());
		const hasLimit = upstream.rateLimit !== undefined;
		if (hadLimit || hasLimit || upstream.isLeaving) {
			applyNotice(upstream);
		}
	}

	/** Takes in what the sender of an attempt knows of an upstream here. */
	function takeNotice(notice: UpstreamNotice | undefined): void {
		const upstream = notice && upstreams.get(notice.id);
		if (upstream) {
			applyRemoteNotice(upstream, notice, now());
			applyNotice(upstream);
		}
	}

	const runner = createJobRunner({
		ledger,
		observer,
		edge,
		refuse: (reason, upstream) => refuse('not-run', reason, upstream),
		onSent(upstream) {
			silenceWatch.scheduleCheck(upstream);
		},
		onHead: noteHead,
		now,
	});
	const silenceWatch = createLostRequestDetector({
		logger: options.logger,
		probeLoad: options.probeLoad,
		onLost: runner.endLost,
		now,
	});

	function readExpectation(
		upstream: LocalUpstream,
		attempt: Attempt,
	): Expectation {
		const at = now();
		const {priority = 0, remainingMs, routeObjectiveMs = remainingMs} = attempt;
		const dueAt = at + routeObjectiveMs;
		return {
			...computeLocalWait(upstream, {priority, dueAt}, at),
			serviceMs: readExpectedServiceTime(upstream, attempt, at),
			meanServiceMs: readServiceTime(upstream.serviceTime, at),
		};
	}

	/** Counts the time that an attempt has been on its way as used up. */
	function updateTerms(attempt: Attempt): Attempt {
		const transitMs = computeTransitTime(attempt, now());
		return {...attempt, ...computeRemainingTime(attempt, transitMs)};
	}

	/** Refuses an attempt when the node itself has no time for it. */
	function admitByLag(attempt: Attempt): Job | AttemptResult {
		const lagMs = readLag();
		const {priority = 0, remainingMs} = attempt;
		if (remainingMs <= 0) {
			return refuse('not-run', 'deadline');
		}

		// The attempt may have waited here for as long as the loop runs late.
		const canEndInTime = lagMs < remainingMs;
		return canEndInTime && decideEventLoopAdmission({lagMs, priority})
			? admit(attempt)
			: refuse('not-run', 'overloaded');
	}

	/** Describes the slots and the queue as a new attempt finds them. */
	function describeQueue(
		upstream: LocalUpstream,
		{team}: Attempt,
	): Pick<
		AdmissionInput,
		| 'slots'
		| 'inFlight'
		| 'queuedAhead'
		| 'queued'
		| 'teamQueued'
		| 'maxTeamQueued'
		| 'maxQueued'
	> {
		return {
			slots: computeLocalOpenSlots(upstream, team, now()),
			inFlight: readOccupiedSlots(upstream, now()),
			queuedAhead: countAhead(upstream, team),
			queued: upstream.queuedCount,
			teamQueued: upstream.queued.get(team)?.length ?? 0,
			maxTeamQueued: findLongestQueue(upstream).length,
			maxQueued: upstream.announcement.slots * queueSlotsRatio,
		};
	}

	/** Counts an attempt that comes in time, and makes room where those take all. */
	function noteDemand(
		upstream: LocalUpstream,
		serviceMs: number,
		objectiveMs: number,
	): number {
		const at = now();
		if (serviceMs <= objectiveMs) {
			upstream.utilization = stepUtilization(
				upstream.utilization,
				serviceMs,
				at,
			);
		}

		const {slots} = upstream.announcement;
		const utilization = readUtilization(upstream.utilization, slots, at);
		if (utilization >= 1) {
			// Those in time take every slot: late ones would wait in vain.
			runner.dropLate(upstream);
		}

		return utilization;
	}

	/** Finds the upstream for an attempt, or why there is none. */
	function findUpstream({service}: Attempt): LocalUpstream | AttemptResult {
		const {upstream, state: found} = findLocalUpstream(
			upstreams.values(),
			service,
		);
		const state = isDraining ? 'leaving' : found;
		if (state === 'ready' && upstream) {
			return upstream;
		}

		const reason = state === 'ready' ? 'no-upstream' : state;
		return refuse('not-run', reason, upstream);
	}

	/** Decides whether an upstream has room for an attempt in time. */
	function judgeAttempt(
		upstream: LocalUpstream,
		attempt: Attempt,
		expected: Expectation,
		utilization: number,
	): (Admission & {readonly kind: 'admit'}) | AttemptResult {
		const {remainingMs, objectiveMs = remainingMs} = attempt;
		const admission = decideAdmission({
			state: 'ready',
			remainingMs,
			objectiveMs,
			...expected,
			utilization,
			marginRatio: upstream.marginRatio,
			...describeQueue(upstream, attempt),
		});
		if (admission.kind === 'admit') {
			return admission;
		}

		const retryAfter = computeRetryAfter({
			...expected,
			objectiveMs,
			remainingMs,
			random: random(),
		});
		return refuse('not-run', admission.reason, upstream, retryAfter);
	}

	function refuseBeforeBody(attempt: Attempt): AttemptResult | undefined {
		const found = findUpstream(attempt);
		if ('kind' in found) {
			return found;
		}

		const {slots} = found.announcement;
		const judged = judgeAttempt(
			found,
			attempt,
			readExpectation(found, attempt),
			readUtilization(found.utilization, slots, now()),
		);
		return judged.kind === 'admit' ? undefined : judged;
	}

	function admit(attempt: Attempt): Job | AttemptResult {
		const upstream = findUpstream(attempt);
		if ('kind' in upstream) {
			return upstream;
		}

		const {remainingMs, objectiveMs = remainingMs} = attempt;
		const expected = readExpectation(upstream, attempt);
		const utilization = noteDemand(upstream, expected.serviceMs, objectiveMs);
		const judged = judgeAttempt(upstream, attempt, expected, utilization);
		if (judged.kind !== 'admit') {
			return judged;
		}

		if (judged.shouldEvict) {
			runner.drop(findLongestQueue(upstream).at(-1)!, 'saturated');
		}

		return runner.enqueue(attempt, upstream, {
			isLate: judged.isLate,
			serviceMs: expected.serviceMs,
			waitMs: expected.waitMs,
		});
	}

	async function runAdmitted(arrived: Attempt): Promise<AttemptResult> {
		const attempt = updateTerms(arrived);
		const admitted = admitByLag(attempt);
		if ('kind' in admitted) {
			ledger.refuse(attempt, now());
			return admitted;
		}

		const job = admitted;
		const timer = startPostPollTimer(() => {
			runner.endEarly(job, 'deadline');
		}, attempt.remainingMs);
		const waitTimer = setTimeout(
			runner.expireQueued,
			job.queueExpiresAt - job.admittedAt,
			job,
		);
		const cancel = (): void => {
			runner.endEarly(job, 'cancelled');
		};

		attempt.signal.addEventListener('abort', cancel, {once: true});
		if (attempt.signal.aborted) {
			cancel();
		}

		const result = await job.result;
		clearTimeout(waitTimer);
		if (job.phase === 'finished') {
			timer.stop();
		}

		reportGateEvent(observer, job, result, now());
		return result;
	}

	async function joinAttempt(
		id: string,
		remainingMs: number,
		signal: CancelSignal,
	): Promise<AttemptResult> {
		const job = runner.findJob(id);
		if (!job) {
			return ledger.isFenced(id)
				? refuse('not-run', 'fenced')
				: (ledger.readAnswer(id) ?? refuse('unknown', 'forgotten'));
		}

		const result = await raceResult(job.result, remainingMs, signal);
		if (!result) {
			return refuse('unknown', 'deadline');
		}

		return result.kind === 'answered' && result.body instanceof Readable
			? refuse('unknown', 'forgotten')
			: result;
	}

	function withdraw(id: string): void {
		const known = upstreams.get(id);
		if (known) {
			upstreams.delete(id);
			clearTimeout(known.rateLimitTimer);
			runner.dropQueued(known);
		}
	}

	/** Takes in a further announcement of the same life. */
	function renew(known: LocalUpstream, announcement: Announcement): void {
		const {incarnation = known.announcement.incarnation} = announcement;
		const isLeaving = known.isLeaving || announcement.state === 'leaving';
		known.announcement = {
			...announcement,
			...(incarnation !== undefined && {incarnation}),
			state: isLeaving ? 'leaving' : 'ready',
		};
		known.queue.concurrency = announcement.slots;
		if (isLeaving) {
			runner.dropQueued(known);
		} else {
			runner.startJobs(known);
		}
	}

	return {
		announce(id, announcement) {
			const known = upstreams.get(id);
			if (known && isSameIncarnation(known.announcement, announcement)) {
				renew(known, announcement);
				return;
			}

			if (known && isEarlierIncarnation(announcement, known.announcement)) {
				return;
			}

			withdraw(id);
			upstreams.set(id, createLocalUpstream(id, announcement));
		},
		withdraw,
		reviseAnnouncement(id, announcement) {
			const known = upstreams.get(id);
			return known?.isLeaving &&
				isSameIncarnation(known.announcement, announcement)
				? {...announcement, state: 'leaving'}
				: announcement;
		},
		handleReport(id, report, load) {
			const upstream = upstreams.get(id);
			if (upstream && load) {
				silenceWatch.recordLoad(upstream, load);
			}

			// A health answer that is silent says nothing of other answers.
			if (upstream && report !== emptyReport) {
				const at = now();
				recordReport(upstream, {report, verdict: 'answered', sentAt: at}, at);
				applyNotice(upstream);
			}
		},
		refuseBeforeBody,
		async runAttempt(attempt) {
			const {id, key, remainingMs, signal} = attempt;
			takeNotice(attempt.notice);
			const holder = key === undefined ? undefined : ledger.findKeyHolder(key);
			const answer = holder ? 'running' : ledger.admit(attempt, now());
			switch (answer) {
				case 'run': {
					return runAdmitted(attempt);
				}

				case 'stale': {
					return refuse('not-run', 'stale-stamp');
				}

				case 'fenced': {
					return refuse('not-run', 'fenced');
				}

				case 'running':
				case 'ended': {
					return joinAttempt(holder ?? id, remainingMs, signal);
				}
			}
		},
		ask: (question) => ledger.ask(question, now()),
		fetchAnswer: joinAttempt,
		cancel(question) {
			const job = runner.findJob(question.id);
			if (job) {
				runner.endEarly(job, 'cancelled');
			} else {
				// It may still lie in the socket of a node that runs late.
				ledger.ask(question, now());
			}
		},
		cancelQueued(id) {
			const job = runner.findJob(id);
			if (job?.phase === 'queued') {
				runner.endEarly(job, 'cancelled');
			}
		},
		readStamp: () => ledger.readStamp(now()),
		readRateLimit() {
			const limits = [...upstreams.values()]
				.map(({rateLimit}) => rateLimit?.perSecond)
				.filter((perSecond) => perSecond !== undefined);
			return limits.length === 0 ? undefined : Math.min(...limits);
		},
		async drain() {
			isDraining = true;
			await runner.waitUntilIdle();
		},
		async stop() {
			for (const upstream of upstreams.values()) {
				const {agent, rateLimitTimer, lossConfirmTimer, lossCheckTimer} =
					upstream;
				clearTimeout(rateLimitTimer);
				clearTimeout(lossConfirmTimer);
				clearTimeout(lossCheckTimer);
				agent.destroy();
			}
		},
	};
}
