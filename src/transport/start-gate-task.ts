import {randomUUID} from 'node:crypto';
import {Readable} from 'node:stream';
import {createLedger} from '../coordination/create-ledger.js';
import {computeRetryAfter} from '../coordination/compute-retry-after.js';
import {
	decideAdmission,
	type Admission,
} from '../coordination/decide-admission.js';
import {computeRemainingTime} from '../coordination/compute-remaining-time.js';
import {computeTransitTime} from '../coordination/compute-transit-time.js';
import {decideEventLoopAdmission} from '../coordination/decide-event-loop-admission.js';
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
import {msPerSecond, retryAfterSeconds} from '../protocol/constants.js';
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
import {
	createCallMonitor,
	type CallMonitor,
} from './_lib/create-call-monitor.js';
import {createCrashDetector} from './_lib/create-crash-detector.js';
import {createProblemLog} from './_lib/create-problem-log.js';
import {createReportLog} from './_lib/create-report-log.js';
import {createSharedTimer} from './_lib/create-shared-timer.js';
import {createSuspectTracker} from './_lib/create-suspect-tracker.js';
import {createJobRunner} from './_lib/create-job-runner.js';
import {createLostRequestDetector} from './_lib/create-lost-request-detector.js';
import {
	createAdmissionInput,
	computeAttemptEstimate,
	type AttemptEstimate,
} from './_lib/attempt-estimate.js';
import {
	applyRemoteNotice,
	isEarlierIncarnation,
	isSameIncarnation,
	recordReport,
} from './_lib/local-notice.js';
import {
	createLocalUpstream,
	findEvicted,
	findLocalUpstream,
	readLocalLoad,
	type Job,
	type LocalUpstream,
} from './_lib/local-upstream.js';
import {recordPrecedence, selectPrecedence} from './_lib/nested-precedence.js';
import {raceResult} from './_lib/race-result.js';
import {reportGateEvent} from './_lib/report-gate-event.js';
import type {Logger} from './create-logger.js';
import {defaultEdge} from './default-edge.js';
import type {RequestQuarantine} from './start-quarantine-task.js';

/** Options of `startGateTask`. */
export type GateTaskOptions = {
	readonly logger: Logger;
	readonly observer?: RequestObserver;
	/** Returns the event loop lag, ms; default 0. */
	readonly readLag?: () => number;
	/** Returns the longest time for which what the node reads next may have waited, ms; `readLag` when absent. */
	readonly readMaxWait?: () => number;
	/** Probes an upstream for its load; undefined when it reports none. */
	readonly probeLoad?: (
		announcement: Announcement,
	) => Promise<GateLoad | undefined>;
	/** Headers that upstreams use; default `defaultEdge`. */
	readonly edge?: Edge;
	/** Called when an upstream is found to be leaving by other means than its announcement. */
	readonly onLeaving?: (id: string, announcement: Announcement) => void;
	/** Keeps what is known about requests that crash their upstreams; without it, none is suspected. */
	readonly quarantine?: RequestQuarantine;
	/** Monitor of the calls made by the requests that run on the host; by default one that sees no calls. */
	readonly calls?: CallMonitor;
	/** Random identifier of the process; default a new UUID. */
	readonly epoch?: string;
	/** Monotonic time, ms; default `performance.now`. */
	readonly now?: () => number;
	/** Returns a number from 0 up to, but not including, 1; default `Math.random`. */
	readonly random?: () => number;
};

/** Part of the epoch in the identifiers of crashes; tells apart all processes of a fleet. */
const crashIdPrefixLength = 13;

/** Time after its deadline in which an upstream may still respond, ms; it ends earlier when the caller's node no longer waits. */
const upstreamDeadlineSlackMs = 250;

/** Gate of a host: the only task that sends requests to the upstreams on the host. */
export type GateTask = {
	/** Adds or updates an upstream; ignores an announcement of an earlier incarnation. */
	announce(id: string, announcement: Announcement): void;
	/** Removes an upstream and refuses the attempts that are queued for it. */
	withdraw(id: string): void;
	/**
	 * Corrects an announcement by what the gate knows: an upstream that has
	 * reported in a response that it is leaving stays so for this incarnation,
	 * even if a late announcement says that it is ready.
	 */
	reviseAnnouncement(id: string, announcement: Announcement): Announcement;
	/** Handles a report and load that an upstream has sent outside of an attempt. */
	handleReport(id: string, report: UpstreamReport, load?: GateLoad): void;
	/**
	 * Decides from the head of an attempt, before its body is received, whether
	 * it is refused. Returns the refusal, after which the attempt must not be run,
	 * or undefined when it may be admitted.
	 */
	refuseBeforeBody(attempt: Attempt): AttemptResult | undefined;
	runAttempt(attempt: Attempt): Promise<AttemptResult>;
	/** Returns the outcome of an attempt; fences an attempt that has not arrived. */
	ask(query: AttemptQuery): LedgerStep['answer'];
	/** Waits for the result of an attempt, or returns the stored one. */
	fetchAnswer(
		id: string,
		remainingMs: number,
		signal: CancelSignal,
	): Promise<AttemptResult>;
	/**
	 * Cancels an attempt whose response is no longer wanted; fences an attempt
	 * that has not arrived.
	 */
	cancel(query: AttemptQuery): void;
	/** Cancels an attempt that is still queued; a running one continues. */
	cancelQueued(id: string): void;
	readStamp(): GateStamp;
	/** Returns the lowest rate limit that an upstream on the host reports, requests per second; undefined when none does. */
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
	const {readMaxWait = readLag} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	const {calls = createCallMonitor(now)} = options;
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

	const suspects = createSuspectTracker({
		quarantine: options.quarantine,
		findUpstream: ({service}) =>
			findLocalUpstream(upstreams.values(), service).upstream,
		now,
	});

	/** Refuses an attempt at a request that crashes its upstreams; undefined for any other. */
	function refuseQuarantined(attempt: Attempt): AttemptResult | undefined {
		const suspicion = suspects.readSuspicion(attempt);
		return suspicion.kind === 'quarantined'
			? refuse(
					'not-run',
					'quarantined',
					undefined,
					suspicion.remainingMs / msPerSecond,
				)
			: undefined;
	}

	/** Reports an attempt that is refused before it is admitted. */
	function reportRefusal(
		{route}: Attempt,
		refusal: AttemptResult,
	): AttemptResult {
		if (refusal.kind === 'not-run') {
			const {reason, load} = refusal;
			observer.onRefusal?.({
				place: 'gate',
				route,
				reason,
				isReturned: undefined,
				hasFreeSlot: load && load.inFlight < load.slots,
			});
		}

		return refusal;
	}

	const reportLog = createReportLog({logger: options.logger, now});

	/** Applies what the gate now knows about an upstream: drops queued attempts that cannot be run here, and starts others. */
	function applyNotice(upstream: LocalUpstream): void {
		if (upstreams.get(upstream.id) !== upstream) {
			// A later incarnation has replaced this upstream.
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

	/** Handles the load and the report that the head of a response carries. */
	function handleResponseHead(job: Job, {status, headers}: ResponseHead): void {
		const {upstream, attempt, sentAt} = job;
		const verdict = edge.classifyResponse({status, headers}, attempt);
		const load = edge.readLoad(headers);
		if (load && (verdict === 'answered' || verdict === 'shed')) {
			lostRequestDetector.recordLoad(upstream, {
				load,
				requestedAt: job.firstByteAt,
				isRefusal: verdict === 'shed',
			});
		}

		const report = edge.readReport(headers);
		const hadRateLimit = upstream.rateLimit !== undefined;
		if (report === emptyReport && !hadRateLimit && upstream.hasReported) {
			return;
		}

		const {id} = upstream;
		const {service} = attempt;
		reportLog.record({id, service, report, status, verdict});
		recordReport(upstream, {report, verdict, sentAt}, now());
		const hasRateLimit = upstream.rateLimit !== undefined;
		if (hadRateLimit || hasRateLimit || upstream.isLeaving) {
			applyNotice(upstream);
		}
	}

	/** Handles the notice about a local upstream that the sender of an attempt has cached. */
	function handleRemoteNotice(notice: UpstreamNotice | undefined): void {
		const upstream = notice && upstreams.get(notice.id);
		if (upstream) {
			applyRemoteNotice(upstream, notice, now());
			applyNotice(upstream);
		}
	}

	const logRefused = createProblemLog({
		logger: options.logger,
		message: 'request refused',
		now,
	});
	const runner = createJobRunner({
		ledger,
		observer,
		edge,
		refuse: (reason, upstream) => refuse('not-run', reason, upstream),
		onSent({upstream, attempt}) {
			calls.recordRunStart();
			recordPrecedence(upstream, attempt, 'started', now());
			lostRequestDetector.scheduleCheck(upstream);
		},
		onHead: handleResponseHead,
		onRefused({upstream}, reason) {
			logRefused([{place: upstream.announcement.address, reason}]);
		},
		onEnd(job, end, result) {
			calls.recordRunEnd(job, result);
			crashDetector.recordEnd(job, end);
			if (end === 'answered' && result.kind === 'answered') {
				suspects.recordCompletion(job);
				lostRequestDetector.recordAnswer(job);
			}
		},
		hasSuspicions: suspects.hasSuspicions,
		readSuspicion: suspects.readSuspicion,
		readMaxWait,
		now,
	});
	const crashDetector = createCrashDetector({
		logger: options.logger,
		idPrefix: epoch.slice(0, crashIdPrefixLength),
		onCrash(crash, upstream, running) {
			observer.onCrash?.(crash);
			suspects.recordCrash(crash.id, upstream, running);
		},
		now,
	});
	const lostRequestDetector = createLostRequestDetector({
		logger: options.logger,
		probeLoad: options.probeLoad,
		readMaxWait,
		now,
	});

	const deadlineTimer = createSharedTimer<Job>({
		onDue(job) {
			runner.endEarly(job, 'deadline');
		},
		isPostPoll: true,
		now,
	});
	const queueTimer = createSharedTimer<Job>({
		onDue: runner.expireQueued,
		now,
	});

	/** Subtracts the transit time of an attempt from its remaining time. */
	function subtractTransitTime(attempt: Attempt): Attempt {
		const transitMs = computeTransitTime(attempt, now());
		const {remainingMs, objectiveMs} = computeRemainingTime(attempt, transitMs);
		return {...attempt, remainingMs, objectiveMs};
	}

	/** Admits an attempt, unless event loop lag leaves the node no time for it. */
	function admitUnlessLagging(attempt: Attempt): Job | AttemptResult {
		const lagMs = readLag();
		const {priority = 0, remainingMs} = attempt;
		if (remainingMs <= 0) {
			return refuse('not-run', 'deadline');
		}

		// The attempt may have been waiting unread for as long as the event loop lags.
		const canEndInTime = lagMs < remainingMs;
		return canEndInTime && decideEventLoopAdmission({lagMs, priority})
			? admit(attempt)
			: refuse('not-run', 'overloaded');
	}

	/** Counts an attempt that can meet its objective, and drops late attempts when such attempts use all slots. Returns the utilization. */
	function recordDemand(
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
			// Attempts that meet their objectives use every slot, so late ones would never get one.
			runner.dropLate(upstream);
		}

		return utilization;
	}

	/** Finds the upstream for an attempt; returns a refusal when none is available. */
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

	/** Decides whether an upstream can run an attempt in time. */
	function evaluateAdmission(
		upstream: LocalUpstream,
		attempt: Attempt,
		estimate: AttemptEstimate,
		utilization: number,
	): (Admission & {readonly kind: 'admit'}) | AttemptResult {
		const {remainingMs, objectiveMs = remainingMs} = attempt;
		const admission = decideAdmission(
			createAdmissionInput(upstream, attempt, estimate, {
				utilization,
				now: now(),
			}),
		);
		if (admission.kind === 'admit') {
			return admission;
		}

		const retryAfter = computeRetryAfter({
			...estimate,
			objectiveMs,
			remainingMs,
			random: random(),
		});
		return refuse('not-run', admission.reason, upstream, retryAfter);
	}

	/** Refuses an attempt whose calls could not be served. */
	function refuseRun(
		upstream: LocalUpstream,
		{remainingMs}: Attempt,
		estimate: AttemptEstimate,
	): AttemptResult {
		// The shortage outlasts the objective, so that a retry is spread over the time left.
		const retryAfter = computeRetryAfter({
			...estimate,
			objectiveMs: 0,
			remainingMs,
			random: random(),
		});
		return refuse('not-run', 'calls-saturated', upstream, retryAfter);
	}

	function refuseBeforeBody(attempt: Attempt): AttemptResult | undefined {
		const refusal = refuseQuarantined(attempt);
		if (refusal) {
			return refusal;
		}

		const found = findUpstream(attempt);
		if ('kind' in found) {
			return found;
		}

		const {slots} = found.announcement;
		const decision = evaluateAdmission(
			found,
			attempt,
			computeAttemptEstimate(found, attempt, now()),
			readUtilization(found.utilization, slots, now()),
		);
		return decision.kind === 'admit' ? undefined : decision;
	}

	function admit(received: Attempt): Job | AttemptResult {
		const refusal = refuseQuarantined(received);
		if (refusal) {
			return refusal;
		}

		const upstream = findUpstream(received);
		if ('kind' in upstream) {
			return upstream;
		}

		recordPrecedence(upstream, received, 'arrived', now());
		const attempt = selectPrecedence(upstream, received);
		const {remainingMs, objectiveMs = remainingMs} = attempt;
		const estimate = computeAttemptEstimate(upstream, attempt, now());
		const utilization = recordDemand(upstream, estimate.serviceMs, objectiveMs);
		const decision = evaluateAdmission(
			upstream,
			attempt,
			estimate,
			utilization,
		);
		if (decision.kind !== 'admit') {
			return decision;
		}

		if (!calls.decideRun(attempt)) {
			return refuseRun(upstream, attempt, estimate);
		}

		if (decision.shouldEvict) {
			runner.drop(findEvicted(upstream, attempt), 'saturated');
		}

		return runner.enqueue(attempt, upstream, {
			isLate: decision.isLate,
			serviceMs: estimate.serviceMs,
			waitMs: estimate.waitMs,
		});
	}

	/** Waits for the end of an admitted attempt, and ends it early when its time is over or it is cancelled. */
	async function waitForResult(job: Job): Promise<AttemptResult> {
		const {attempt} = job;
		const {signal} = attempt;
		deadlineTimer.start(job, attempt.remainingMs + upstreamDeadlineSlackMs);
		if (job.phase === 'queued') {
			queueTimer.start(job, job.queueExpiresAt - job.admittedAt);
		}

		const cancel = (): void => {
			runner.endEarly(job, 'cancelled');
		};

		signal.addEventListener('abort', cancel, {once: true});
		if (signal.aborted) {
			cancel();
		}

		const result = await job.result;
		queueTimer.stop(job);
		if (job.phase === 'finished') {
			deadlineTimer.stop(job);
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

		const waitMs = remainingMs + upstreamDeadlineSlackMs;
		const result = await raceResult(job.result, waitMs, signal);
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
			// It may end from now on, without having crashed.
			known.isLeaving = true;
			upstreams.delete(id);
			clearTimeout(known.rateLimitTimer);
			runner.dropQueued(known);
		}
	}

	/** Updates an upstream with a further announcement of the same incarnation. */
	function updateAnnouncement(
		known: LocalUpstream,
		announcement: Announcement,
	): void {
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
			suspects.recordAnnouncement(announcement);
			const known = upstreams.get(id);
			if (known && isSameIncarnation(known.announcement, announcement)) {
				updateAnnouncement(known, announcement);
				return;
			}

			if (known && isEarlierIncarnation(announcement, known.announcement)) {
				return;
			}

			for (const other of upstreams.values()) {
				if (other.announcement.address === announcement.address) {
					crashDetector.recordReplacement(other);
				}
			}

			withdraw(id);
			upstreams.set(id, createLocalUpstream(id, announcement, now));
			const {service, address, incarnation} = announcement;
			options.logger.info('upstream added', {
				id,
				service,
				address,
				incarnation,
				incarnationBefore: known?.announcement.incarnation,
			});
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
				lostRequestDetector.recordLoad(upstream, {load});
			}

			// A health response without a report does not revoke what other responses have reported.
			if (upstream && report !== emptyReport) {
				const at = now();
				recordReport(upstream, {report, verdict: 'answered', sentAt: at}, at);
				applyNotice(upstream);
			}
		},
		refuseBeforeBody(attempt) {
			const refusal = refuseBeforeBody(attempt);
			return refusal && reportRefusal(attempt, refusal);
		},
		async runAttempt(attempt) {
			const {id, key, remainingMs, signal} = attempt;
			handleRemoteNotice(attempt.notice);
			const holder = key === undefined ? undefined : ledger.findKeyHolder(key);
			const decision = holder ? 'running' : ledger.admit(attempt, now());
			switch (decision) {
				case 'run': {
					const current = subtractTransitTime(attempt);
					const admitted = admitUnlessLagging(current);
					if (!('kind' in admitted)) {
						return waitForResult(admitted);
					}

					ledger.refuse(current, now());
					return reportRefusal(current, admitted);
				}

				case 'stale': {
					return reportRefusal(attempt, refuse('not-run', 'stale-stamp'));
				}

				case 'fenced': {
					return reportRefusal(attempt, refuse('not-run', 'fenced'));
				}

				case 'running':
				case 'ended': {
					return joinAttempt(holder ?? id, remainingMs, signal);
				}
			}
		},
		ask: (query) => ledger.ask(query, now()),
		fetchAnswer: joinAttempt,
		cancel(query) {
			const job = runner.findJob(query.id);
			if (job) {
				runner.endEarly(job, 'cancelled');
			} else {
				// The attempt may still be unread in a socket, when the event loop lags.
				ledger.ask(query, now());
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
				const {
					agent,
					unpooledAgent,
					rateLimitTimer,
					lossConfirmTimer,
					lossCheckTimer,
				} = upstream;
				clearTimeout(rateLimitTimer);
				lossConfirmTimer?.stop();
				clearTimeout(lossCheckTimer);
				agent.destroy();
				unpooledAgent.destroy();
			}
		},
	};
}
