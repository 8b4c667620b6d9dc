import {Readable} from 'node:stream';
import {finished} from 'node:stream/promises';
import {compareWaiting} from '../../coordination/compare-waiting.js';
import {computeRateLimitWait} from '../../coordination/compute-rate-limit-wait.js';
import {lateWaitRatio} from '../../coordination/decide-admission.js';
import type {Ledger} from '../../coordination/create-ledger.js';
import {stepRateLimit} from '../../coordination/step-rate-limit.js';
import type {Attempt, AttemptResult} from '../../protocol/attempt.js';
import type {AnswerHead, Edge} from '../../protocol/edge.js';
import type {RequestObserver} from '../../protocol/observer.js';
import type {OutcomeReason} from '../../protocol/request.js';
import {createUpstreamRequest} from './create-upstream-request.js';
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
import {sendRequest} from './send-request.js';

/** Options of `createJobRunner`. */
export type JobRunnerOptions = {
	readonly ledger: Ledger<AttemptResult>;
	readonly observer: RequestObserver;
	readonly edge: Edge;
	/** Makes the result of an attempt that is refused before it is sent. */
	readonly refuse: (
		reason: OutcomeReason,
		upstream: LocalUpstream,
	) => AttemptResult;
	/** Told of each attempt that has been sent. */
	readonly onSent: (upstream: LocalUpstream) => void;
	/** Told of the head of each answer. */
	readonly onHead: (job: Job, head: AnswerHead) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** What is expected of a job when it is admitted. */
export type JobEstimate = {
	/** Whether its answer will come after its objective. */
	readonly isLate: boolean;
	/** Expected time at the upstream, ms. */
	readonly serviceMs: number;
	/** Expected wait for a slot, ms. */
	readonly waitMs: number;
};

/** The admitted attempts of a gate, from queue to end. */
export type JobRunner = {
	enqueue(
		attempt: Attempt,
		upstream: LocalUpstream,
		expectation: JobEstimate,
	): Job;
	/** Refuses a job that still waits. */
	expireQueued(job: Job): void;
	/** Refuses the waiting jobs whose answers could only be late. */
	dropLate(upstream: LocalUpstream): void;
	/** Starts the queued jobs for which an upstream has slots. */
	startJobs(upstream: LocalUpstream): void;
	findJob(id: string): Job | undefined;
	/** Refuses a queued job. */
	drop(job: Job, reason: OutcomeReason): void;
	/** Refuses all queued jobs of an upstream that is leaving. */
	dropQueued(upstream: LocalUpstream): void;
	/** Refuses the queued jobs of an upstream whose turn under its rate limit comes too late. */
	dropRateLimited(upstream: LocalUpstream): void;
	/**
	 * Gives up an attempt that its upstream does not work on. One that may not be
	 * repeated only leaves its slot: its answer is taken up to its deadline.
	 */
	endLost(job: Job): void;
	/** Ends a job whose answer is not wanted any more, wherever it is. */
	endEarly(job: Job, reason: EarlyEndReason): void;
	/** Waits until there are no jobs. */
	waitUntilIdle(): Promise<void>;
};

function selectKeptAnswer(attempt: Attempt, result: AttemptResult) {
	if (attempt.repeatable) {
		return 'forget';
	}

	return result.kind === 'answered' && !(result.body instanceof Readable)
		? {value: result, bytes: result.body.length}
		: undefined;
}

async function waitForEnd(stream: Readable): Promise<void> {
	try {
		await finished(stream);
	} catch {
		// Whoever reads the stream sees the failure.
	}
}

/**
 * Creates the runner of a gate's admitted attempts.
 *
 * Each attempt gets a slot of its upstream in fair order, is sent at most once,
 * and has its end noted in the ledger.
 *
 * @param options - see `JobRunnerOptions`
 * @returns the runner
 */
export function createJobRunner(options: JobRunnerOptions): JobRunner {
	const {ledger, observer, edge, refuse, onSent, onHead, now} = options;
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
			ledger.end(attempt, now(), selectKeptAnswer(attempt, result));
		}

		jobs.delete(attempt.id);
		job.resolve(result);
		if (jobs.size === 0) {
			onIdle?.();
		}
	}

	/** Refuses a queued job; it has not been sent. */
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
	 * Refuses the queued jobs that would be given up by now: in a node that runs
	 * late, a slot becomes free before their timers are heard.
	 */
	function dropExpired(upstream: LocalUpstream): void {
		const at = now();
		for (const job of [...upstream.queued.values()].flat()) {
			if (at >= job.queueExpiresAt) {
				dropJob(job, 'saturated');
			}
		}
	}

	/** Starts jobs again when the next one has its turn under the rate limit. */
	function planTurn(upstream: LocalUpstream, waitMs: number): void {
		clearTimeout(upstream.rateLimitTimer);
		upstream.rateLimitTimer = setTimeout(startJobs, waitMs, upstream);
		upstream.rateLimitTimer.unref();
	}

	/** Takes the next job that has a slot and its turn under the rate limit. */
	function takeJob(upstream: LocalUpstream): Job | undefined {
		const at = now();
		const waitMs = computeRateLimitWait(upstream.rateLimit, 0, at);
		if (waitMs > 0 && upstream.queuedCount > 0) {
			planTurn(upstream, waitMs);
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
	 * Refuses the queued jobs whose turn would come too late. Answers a limit
	 * that is named while a queue waits that was admitted without it.
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
			const turnAt = at + computeRateLimitWait(upstream.rateLimit, ahead, at);
			if (turnAt > job.latestStartAt) {
				dropJob(job, 'limited');
			} else {
				ahead++;
			}
		}
	}

	function startJobs(upstream: LocalUpstream): void {
		if (
			upstream.queuedCount > 0 &&
			readOccupiedSlots(upstream, now()) < upstream.announcement.slots
		) {
			dropExpired(upstream);
		}

		for (let job = takeJob(upstream); job; job = takeJob(upstream)) {
			const next = job;
			next.phase = 'sent';
			next.sentAt = now();
			void upstream.queue.add(async () => runJob(next));
		}
	}

	async function runJob(job: Job): Promise<void> {
		const {upstream, attempt} = job;
		const remainingMs = job.deadlineAt - job.sentAt;
		job.sent = sendRequest(
			createUpstreamRequest(attempt, edge, {
				remainingMs,
				traceparent: job.traceparent,
				instance: upstream.id,
			}),
			{
				agent: upstream.agent,
				address: upstream.announcement.address,
				areResponsesIdentified: edge.identifiesAnswers,
				onSent() {
					job.fullySentAt = now();
				},
				onHead(head) {
					job.isAnswered = true;
					onHead(job, head);
				},
			},
		);
		onSent(upstream);
		if (job.earlyEndReason) {
			job.sent.abort();
		}

		const outcome = await job.sent.outcome;
		const answeredAt = now();
		const result = readUpstreamOutcome(outcome, attempt, {
			edge,
			earlyEndReason: job.earlyEndReason,
			load: readLocalLoad(upstream, answeredAt, attempt.route),
			stamp: ledger.readStamp(answeredAt),
		});
		if (result.kind === 'answered' && result.body instanceof Readable) {
			job.resolve(result);
			await waitForEnd(result.body);
		}

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
			dueAt: admittedAt + (attempt.routeObjectiveMs ?? attempt.remainingMs),
			result,
			resolve,
			phase: 'queued',
			sentAt: 0,
			sent: undefined,
			fullySentAt: Number.POSITIVE_INFINITY,
			isAnswered: false,
			earlyEndReason: undefined,
		};
		addToLocalQueue(job);
		jobs.set(attempt.id, job);
		startJobs(upstream);
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
		endLost(job) {
			if (job.attempt.repeatable) {
				endEarly(job, 'unanswered');
			} else {
				releaseSlot(job);
				startJobs(job.upstream);
			}
		},
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
