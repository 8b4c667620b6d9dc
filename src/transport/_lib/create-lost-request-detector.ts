import {
	computeUpstreamWork,
	type UpstreamWork,
} from '../../coordination/compute-upstream-work.js';
import {
	decideLostRequest,
	readMarginMs,
	type LostRequestDecision,
} from '../../coordination/decide-lost-request.js';
import type {GateLoad} from '../../protocol/attempt.js';
import type {Announcement} from '../../protocol/member.js';
import type {Logger} from '../create-logger.js';
import {
	readExpectedServiceTime,
	type Job,
	type LocalUpstream,
} from './local-upstream.js';
import {startPostPollTimer} from './start-post-poll-timer.js';

/** Options of `createLostRequestDetector`. */
export type LostRequestDetectorOptions = {
	readonly logger: Pick<Logger, 'warn'>;
	/** Queries the load of an upstream; resolves to undefined if it reports none. */
	readonly probeLoad?:
		((announcement: Announcement) => Promise<GateLoad | undefined>) | undefined;
	/** Returns the longest time for which what the node reads next may have waited, ms. */
	readonly readMaxWait: () => number;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** A load report that has been read. */
export type LoadReport = {
	readonly load: GateLoad;
	/** When the request that it responds to could be sent, monotonic ms; undefined if not known. */
	readonly requestedAt?: number | undefined;
	/** Whether the response refuses the request that it responds to; false when absent. */
	readonly isRefusal?: boolean;
};

/** Detects requests that an upstream has dropped without a response. */
export type LostRequestDetector = {
	/** Schedules a check of an upstream's unanswered requests, unless one is scheduled already. */
	scheduleCheck(upstream: LocalUpstream): void;
	/** Records the load that an upstream reports. If a response carries the report, its job must be marked as answered before. */
	recordLoad(upstream: LocalUpstream, report: LoadReport): void;
	/** Records that a request was answered; logs it if the request seemed lost. */
	recordAnswer(job: Job): void;
};

/** Time between two checks of the unanswered requests of an upstream, ms. */
const checkIntervalMs = 100;

/** Shortest time after a report for responses in transit to arrive, ms. */
const confirmDelayMs = 50;

/** Minimum time between two log lines about an upstream, ms. */
const logIntervalMs = 1000;

/** Tells whether an upstream had certainly read a request at a time, has not started to answer it, and was not yet found to have lost it. */
function isReceived(
	{isAnswered, isLost, fullySentAt}: Job,
	at: number,
): boolean {
	return !isAnswered && !isLost && fullySentAt <= at - readMarginMs;
}

/**
 * Creates a detector of requests that an upstream has dropped without a response.
 *
 * @param options - see `LostRequestDetectorOptions`
 * @returns the detector
 */
export function createLostRequestDetector(
	options: LostRequestDetectorOptions,
): LostRequestDetector {
	const {logger, probeLoad, readMaxWait, now} = options;

	function decide(job: Job): LostRequestDecision {
		const {upstream, attempt, fullySentAt, sentAt, latestStartAt, serviceMs} =
			job;
		const at = now();
		return decideLostRequest({
			now: at,
			sentAt: fullySentAt,
			expectedMs: readExpectedServiceTime(upstream, attempt, at),
			objectiveMs: latestStartAt + serviceMs - sentAt,
			repeatable: attempt.repeatable,
			work: upstream.work,
			probedAt: upstream.probedAt,
		});
	}

	/**
	 * Marks a request as one that its upstream does not seem to work on. Its
	 * response is accepted until the deadline, and it occupies its slot, as the
	 * upstream may be at work. The sender of a repeatable request is told, once, so
	 * that it can try another host.
	 */
	function handleLost(job: Job, lost: number): void {
		const {upstream, attempt, fullySentAt} = job;
		const at = now();
		if (at - upstream.lossLoggedAt >= logIntervalMs) {
			upstream.lossLoggedAt = at;
			logger.warn('upstream does not answer', {
				id: upstream.id,
				service: attempt.service,
				requestId: attempt.requestId,
				unansweredMs: Math.round(at - fullySentAt),
				lost,
				inFlight: upstream.inFlight,
				reportAgeMs: Math.round(at - (upstream.work?.at ?? at)),
			});
		}

		job.isLost = true;
		if (attempt.repeatable) {
			attempt.onUnanswered?.();
		}
	}

	/** Reports requests that are missing from a load report, after responses in transit have had time to arrive. */
	function confirmLost(
		upstream: LocalUpstream,
		received: readonly Job[],
		{isIdle, lost}: UpstreamWork,
	): void {
		const unanswered = received.filter(
			(job) => upstream.sent.has(job) && !job.isAnswered,
		);
		// Requests that were answered in the meantime may be the ones missing from the report.
		const lostCount = isIdle
			? lost - (received.length - unanswered.length)
			: lost;
		const suspects = unanswered
			.toSorted(
				(a, b) => a.fullySentAt + a.serviceMs - b.fullySentAt - b.serviceMs,
			)
			.slice(0, Math.max(0, lostCount))
			.filter((job) => decide(job) === 'silent');
		for (const job of suspects) {
			handleLost(job, lostCount);
		}

		if (suspects.length > 0 && suspects.length === lostCount) {
			removeMissing(upstream);
		}
	}

	/** Removes the evidence of missing requests once it is explained, so that other requests need evidence of their own. */
	function removeMissing(upstream: LocalUpstream): void {
		upstream.work &&= {
			...upstream.work,
			missingSince: undefined,
			missingReports: 0,
		};
	}

	function recordLoad(
		upstream: LocalUpstream,
		{
			load,
			requestedAt = Number.NEGATIVE_INFINITY,
			isRefusal = false,
		}: LoadReport,
	): void {
		const at = now();
		const maxWaitMs = readMaxWait();
		const waitedMs = Math.min(maxWaitMs, at - requestedAt);
		const readAt = at - waitedMs;
		let unanswered = 0;
		let suspected = 0;
		let read = 0;
		for (const job of upstream.sent) {
			unanswered += job.isAnswered ? 0 : 1;
			suspected += job.isLost && !job.isAnswered ? 1 : 0;
			read += isReceived(job, readAt) ? 1 : 0;
		}

		const work = computeUpstreamWork(
			upstream.work,
			{
				load,
				unanswered,
				suspected,
				read,
				waitedMs,
				isRefusal,
			},
			at,
		);
		upstream.work = work;
		if (load.workRatio !== undefined) {
			upstream.workRatio = {ratio: load.workRatio, at};
		}

		if (work.lost > 0 && !upstream.lossConfirmTimer) {
			const received = [...upstream.sent].filter((job) =>
				isReceived(job, readAt),
			);
			upstream.lossConfirmTimer = startPostPollTimer(
				() => {
					upstream.lossConfirmTimer = undefined;
					confirmLost(upstream, received, work);
				},
				Math.max(confirmDelayMs, maxWaitMs),
			);
		}
	}

	async function probeUpstream(upstream: LocalUpstream): Promise<void> {
		const requestedAt = now();
		upstream.probedAt = requestedAt;
		const load = await probeLoad?.(upstream.announcement);
		if (load) {
			recordLoad(upstream, {load, requestedAt});
		}
	}

	function check(upstream: LocalUpstream): void {
		upstream.lossCheckTimer = undefined;
		const needsProbe = [...upstream.sent].some(
			(job) => !job.isAnswered && !job.isLost && decide(job) === 'probe',
		);
		if (needsProbe) {
			void probeUpstream(upstream);
		}

		scheduleCheck(upstream);
	}

	function scheduleCheck(upstream: LocalUpstream): void {
		const isScheduled = upstream.lossCheckTimer !== undefined;
		if (!probeLoad || isScheduled || upstream.sent.size === 0) {
			return;
		}

		upstream.lossCheckTimer = setTimeout(check, checkIntervalMs, upstream);
		upstream.lossCheckTimer.unref();
	}

	return {
		scheduleCheck,
		recordLoad,
		recordAnswer({upstream, attempt, isLost, fullySentAt}) {
			const at = now();
			if (!isLost || at - upstream.lateAnswerLoggedAt < logIntervalMs) {
				return;
			}

			upstream.lateAnswerLoggedAt = at;
			logger.warn('upstream answers after all', {
				id: upstream.id,
				service: attempt.service,
				requestId: attempt.requestId,
				unansweredMs: Math.round(at - fullySentAt),
			});
		},
	};
}
