import type {IncomingHttpHeaders} from 'node:http';
import {Readable} from 'node:stream';
import {finished} from 'node:stream/promises';
import {compareWaiting} from '../../coordination/compare-waiting.js';
import {computeRateLimitWait} from '../../coordination/compute-rate-limit-wait.js';
import {lateWaitRatio} from '../../coordination/decide-admission.js';
import type {Ledger} from '../../coordination/create-ledger.js';
import {isBehind} from '../../coordination/is-behind.js';
import type {Suspicion} from '../../coordination/quarantine-state.js';
import {stepRateLimit} from '../../coordination/step-rate-limit.js';
import type {Attempt, AttemptResult} from '../../protocol/attempt.js';
import type {ResponseHead, Edge} from '../../protocol/edge.js';
import type {RequestObserver} from '../../protocol/observer.js';
import type {OutcomeReason} from '../../protocol/request.js';
import type {JobEnd} from './create-crash-detector.js';
import {computeTimerDelay} from './compute-timer-delay.js';
import {createUpstreamRequest} from './create-upstream-request.js';
import {hasPrecedence} from './has-precedence.js';
import {releaseSlot, takeNextJob} from './local-slots.js';
import {
	addToLocalQueue,
	removeFromLocalQueue,
	recordTimeMargin,
	recordServiceTime,
	readLocalLoad,
	readOccupiedSlots,
	type EarlyEndReason,
	type Job,
	type LocalUpstream,
} from './local-upstream.js';
import {readUpstreamOutcome} from './read-upstream-outcome.js';
import {sendRequest, type SendOutcome} from './send-request.js';

/** Options of `createJobRunner`. */
export type JobRunnerOptions = {
	readonly ledger: Ledger<AttemptResult>;
	readonly observer: RequestObserver;
	readonly edge: Edge;
	/** Creates the result of an attempt that is refused before it is sent. */
	readonly refuse: (
		reason: OutcomeReason,
		upstream: LocalUpstream,
	) => AttemptResult;
	/** Called after an attempt has been sent. */
	readonly onSent: (job: Job) => void;
	/** Called with the head of each response. */
	readonly onHead: (job: Job, head: ResponseHead) => void;
	/** Called when Node.js refuses to send an attempt, with the reason. */
	readonly onRefused: (job: Job, reason: string) => void;
	/** Called when a job that was sent has ended. */
	readonly onEnd: (job: Job, end: JobEnd, result: AttemptResult) => void;
	/** Whether any request is known to crash its upstreams; false when absent. */
	readonly hasSuspicions?: () => boolean;
	/** Tells whether a request is known to crash its upstreams. */
	readonly readSuspicion: (attempt: Attempt) => Suspicion;
	/** Returns the longest time for which what the node reads next may have waited, ms. */
	readonly readMaxWait: () => number;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Estimate for a job, made at its admission. */
export type JobEstimate = {
	/** Whether the response is expected after the objective. */
	readonly isLate: boolean;
	/** Expected service time at the upstream, ms. */
	readonly serviceMs: number;
	/** Expected wait for a slot, ms. */
	readonly waitMs: number;
};

/** Queues and sends the admitted attempts of a gate. */
export type JobRunner = {
	enqueue(
		attempt: Attempt,
		upstream: LocalUpstream,
		estimate: JobEstimate,
	): Job;
	/** Refuses a job if it is still queued. */
	expireQueued(job: Job): void;
	/** Refuses the queued jobs that can only be answered after their objective. */
	dropLate(upstream: LocalUpstream): void;
	/** Starts queued jobs while the upstream has free slots. */
	startJobs(upstream: LocalUpstream): void;
	findJob(id: string): Job | undefined;
	/** Refuses a queued job. */
	drop(job: Job, reason: OutcomeReason): void;
	/** Refuses all queued jobs of an upstream that is leaving. */
	dropQueued(upstream: LocalUpstream): void;
	/** Refuses the queued jobs of an upstream that its rate limit delays beyond their objective. */
	dropRateLimited(upstream: LocalUpstream): void;
	/** Ends a job whose response is no longer needed, whether it is queued or sent. */
	endEarly(job: Job, reason: EarlyEndReason): void;
	/** Resolves once there are no jobs. */
	waitUntilIdle(): Promise<void>;
};

function selectRetainedResponse(attempt: Attempt, result: AttemptResult) {
	if (attempt.repeatable) {
		return 'forget';
	}

	return result.kind === 'answered' && !(result.body instanceof Readable)
		? {value: result, bytes: result.body.length}
		: undefined;
}

/** Lists the queued jobs whose queue time has expired. */
function listExpired({queued}: LocalUpstream, at: number): readonly Job[] {
	const expired: Job[] = [];
	for (const jobs of queued.values()) {
		for (const job of jobs) {
			if (at >= job.queueExpiresAt) {
				expired.push(job);
			}
		}
	}

	return expired;
}

/** Waits for the end of a streamed response; returns whether it was complete. */
async function waitForStreamEnd(stream: Readable): Promise<boolean> {
	try {
		await finished(stream);
		return true;
	} catch {
		// The reader of the stream handles the error.
		return false;
	}
}

/** Classifies how a job ended at its upstream. */
function classifyEnd(
	{kind}: SendOutcome,
	result: AttemptResult,
	isWhole: boolean,
): JobEnd {
	switch (kind) {
		case 'answered': {
			if (result.kind !== 'answered' && result.reason === 'wrong-instance') {
				return 'replaced';
			}

			return isWhole ? 'answered' : 'lost';
		}

		case 'lost':
		case 'truncated': {
			return 'lost';
		}

		case 'aborted': {
			return 'aborted';
		}

		case 'not-sent': {
			return 'refused';
		}
	}
}

/**
 * Creates the runner of a gate's admitted attempts.
 *
 * Slots of an upstream are assigned by fair queueing. Each attempt is sent at
 * most once, and its end is recorded in the ledger.
 *
 * @param options - see `JobRunnerOptions`
 * @returns the runner
 */
export function createJobRunner(options: JobRunnerOptions): JobRunner {
	const {ledger, observer, edge, refuse, onSent, onHead, onEnd} = options;
	const {readMaxWait, now} = options;
	const {readSuspicion, hasSuspicions = () => false} = options;
	const jobs = new Map<string, Job>();
	let onIdle: (() => void) | undefined;

	function endJob(job: Job, result: AttemptResult, isRefused: boolean): void {
		if (job.phase === 'finished') {
			return;
		}

		job.phase = 'finished';
		const {attempt} = job;
		if (isRefused) {
			ledger.refuse(attempt, now());
		} else {
			ledger.end(attempt, now(), selectRetainedResponse(attempt, result));
		}

		jobs.delete(attempt.id);
		job.resolve(result);
		if (jobs.size === 0) {
			onIdle?.();
		}
	}

	/** Refuses a queued job, which has not been sent. */
	function dropJob(job: Job, reason: OutcomeReason): void {
		removeFromLocalQueue(job);
		endJob(job, refuse(reason, job.upstream), true);
	}

	function endEarly(job: Job, reason: EarlyEndReason): void {
		if (job.phase === 'queued') {
			dropJob(job, reason);
		} else if (job.phase === 'sent') {
			job.earlyEndReason ??= reason;
			job.sent?.abort();
		}
	}

	function dropQueued(upstream: LocalUpstream): void {
		for (const job of [...upstream.queued.values()].flat()) {
			dropJob(job, 'leaving');
		}
	}

	/**
	 * Refuses the queued jobs whose queue time has expired: if the event loop
	 * lags, a slot can become free before their timers fire.
	 */
	function dropExpired(upstream: LocalUpstream): void {
		const at = now();
		for (const job of listExpired(upstream, at)) {
			dropJob(job, 'saturated');
		}
	}

	/** Refuses the queued jobs whose requests have meanwhile been quarantined, and marks the suspects. */
	function updateSuspicions(upstream: LocalUpstream): void {
		for (const job of [...upstream.queued.values()].flat()) {
			const {kind} = readSuspicion(job.attempt);
			job.isSuspect = kind === 'suspect';
			if (kind === 'quarantined') {
				dropJob(job, 'quarantined');
			}
		}
	}

	/** Schedules `startJobs` for when the rate limit admits the next job. */
	function scheduleStart(upstream: LocalUpstream, waitMs: number): void {
		clearTimeout(upstream.rateLimitTimer);
		upstream.rateLimitTimer = setTimeout(
			startJobs,
			computeTimerDelay(waitMs),
			upstream,
		);
		upstream.rateLimitTimer.unref();
	}

	/** Takes the next job for which there is a slot and which the rate limit admits. */
	function takeJob(upstream: LocalUpstream): Job | undefined {
		const at = now();
		const waitMs = computeRateLimitWait(upstream.rateLimit, 0, at);
		if (waitMs > 0 && upstream.queuedCount > 0) {
			scheduleStart(upstream, waitMs);
			return undefined;
		}

		const job = takeNextJob(upstream, at);
		if (job) {
			const {rateLimit} = upstream;
			upstream.rateLimit = stepRateLimit(rateLimit, {kind: 'sent'}, at);
		}

		return job;
	}

	/**
	 * Refuses the queued jobs that the rate limit delays beyond their objective.
	 * Load pattern: an upstream states a rate limit while jobs that were admitted
	 * without it are queued.
	 */
	function dropRateLimited(upstream: LocalUpstream): void {
		if (!upstream.rateLimit) {
			return;
		}

		const at = now();
		const queued = [...upstream.queued.values()]
			.flat()
			.toSorted(compareWaiting);
		let ahead = 0;
		for (const job of queued) {
			const startAt = at + computeRateLimitWait(upstream.rateLimit, ahead, at);
			if (startAt > job.latestStartAt) {
				dropJob(job, 'limited');
			} else {
				ahead++;
			}
		}
	}

	/** Starts queued jobs; `arrived` is one that has just been added. */
	function startQueued(upstream: LocalUpstream, arrived?: Job): void {
		if (
			upstream.queuedCount > 0 &&
			readOccupiedSlots(upstream, now()) < upstream.announcement.slots
		) {
			dropExpired(upstream);
			if (hasSuspicions()) {
				updateSuspicions(upstream);
			}
		}

		for (let next = takeJob(upstream); next; next = takeJob(upstream)) {
			const job = next;
			job.phase = 'sent';
			job.sentAt = now();
			if (job === arrived) {
				// There was a slot for it at once, so that it need not pass the queue.
				void runJob(job);
			} else {
				void upstream.queue.add(async () => runJob(job));
			}
		}
	}

	function startJobs(upstream: LocalUpstream): void {
		startQueued(upstream);
	}

	/**
	 * Creates the headers for the upstream; undefined when the deadline has passed
	 * while the job waited for a connection.
	 */
	function prepareSend(job: Job): IncomingHttpHeaders | undefined {
		const {upstream, attempt, traceparent} = job;
		const remainingMs = job.deadlineAt - now();
		if (remainingMs <= 0) {
			job.earlyEndReason ??= 'deadline';
			return undefined;
		}

		return edge.createUpstreamHeaders(attempt, {
			remainingMs,
			traceparent,
			instance: upstream.id,
		});
	}

	async function runJob(job: Job): Promise<void> {
		const {upstream, attempt} = job;
		job.sent = sendRequest(createUpstreamRequest(attempt), {
			agent: upstream.shedRequests.has(attempt.requestId)
				? upstream.unpooledAgent
				: upstream.agent,
			address: upstream.announcement.address,
			areResponsesIdentified: edge.identifiesResponses,
			isBehind: () => isBehind(readMaxWait()),
			prepareSend: () => prepareSend(job),
			onSend() {
				job.firstByteAt = now();
			},
			onSent() {
				job.fullySentAt = now();
			},
			onHead(head) {
				job.isAnswered = true;
				onHead(job, head);
			},
			// The response that is still due may follow on the connection.
			canReuse: (head) => edge.classifyResponse(head, attempt) !== 'misplaced',
		});
		onSent(job);
		if (job.earlyEndReason) {
			job.sent.abort();
		}

		const outcome = await job.sent.outcome;
		if (outcome.kind === 'not-sent' && outcome.refusal !== undefined) {
			options.onRefused(job, outcome.refusal);
		}

		const answeredAt = now();
		let isWhole = true;
		const result = readUpstreamOutcome(outcome, attempt, {
			edge,
			earlyEndReason: job.earlyEndReason,
			load: readLocalLoad(upstream, answeredAt, attempt.route),
			stamp: ledger.readStamp(answeredAt),
		});
		if (result.kind === 'answered' && result.body instanceof Readable) {
			job.resolve(result);
			isWhole = await waitForStreamEnd(result.body);
		}

		if (result.kind === 'not-run' && outcome.kind === 'answered') {
			upstream.shedRequests.add(attempt.requestId);
		}

		onEnd(job, classifyEnd(outcome, result, isWhole), result);

		releaseSlot(job);
		const endedAt = now();
		if (result.kind === 'answered') {
			recordServiceTime(upstream, attempt.route, endedAt - job.sentAt, endedAt);
			recordTimeMargin(job, endedAt);
		}

		endJob(job, result, result.kind === 'not-run');
		startJobs(upstream);
		if (upstream.inFlight === 0 && upstream.queuedCount === 0) {
			upstream.fairQueue.reset();
		}
	}

	function enqueue(
		attempt: Attempt,
		upstream: LocalUpstream,
		{isLate, serviceMs, waitMs}: JobEstimate,
	): Job {
		let resolve!: Job['resolve'];
		const result = new Promise<AttemptResult>((settle) => {
			resolve = settle;
		});
		const admittedAt = now();
		const {objectiveMs} = attempt;
		const job: Job = {
			attempt,
			upstream,
			traceparent: observer.createTraceparent
				? observer.createTraceparent(attempt.traceparent)
				: attempt.traceparent,
			admittedAt,
			deadlineAt: admittedAt + attempt.remainingMs,
			queueExpiresAt:
				admittedAt +
				(isLate
					? attempt.remainingMs * lateWaitRatio
					: Math.max(0, attempt.remainingMs - serviceMs)),
			latestStartAt:
				admittedAt +
				Math.max(0, (objectiveMs ?? attempt.remainingMs) - serviceMs),
			startTag: upstream.fairQueue.enter(attempt.team),
			isLate,
			serviceMs,
			expectedMs: waitMs + serviceMs,
			priority: attempt.priority ?? 0,
			isNested: hasPrecedence(attempt),
			dueAt: admittedAt + (attempt.routeObjectiveMs ?? attempt.remainingMs),
			result,
			resolve,
			phase: 'queued',
			sentAt: 0,
			sent: undefined,
			firstByteAt: undefined,
			fullySentAt: Number.POSITIVE_INFINITY,
			isAnswered: false,
			isLost: false,
			earlyEndReason: undefined,
			isSuspect: false,
		};
		addToLocalQueue(job);
		jobs.set(attempt.id, job);
		startQueued(upstream, job);
		return job;
	}

	return {
		enqueue,
		startJobs,
		findJob: (id) => jobs.get(id),
		drop: dropJob,
		dropQueued,
		dropRateLimited,
		endEarly,
		dropLate(upstream) {
			for (const job of [...upstream.queued.values()].flat()) {
				if (job.isLate) {
					dropJob(job, 'saturated');
				}
			}
		},
		expireQueued(job) {
			if (job.phase === 'queued') {
				dropJob(job, 'saturated');
			}
		},
		async waitUntilIdle() {
			if (jobs.size > 0) {
				await new Promise<void>((resolve) => {
					onIdle = resolve;
				});
			}
		},
	};
}
