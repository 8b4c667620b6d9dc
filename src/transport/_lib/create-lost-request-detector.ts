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

/** Options of `createSilenceWatch`. */
export type LostRequestDetectorOptions = {
	readonly logger: Pick<Logger, 'warn'>;
	/** Asks an upstream for its load; undefined when it does not tell. */
	readonly probeLoad?:
		((announcement: Announcement) => Promise<GateLoad | undefined>) | undefined;
	/** Called with each request to which no answer will come. */
	readonly onLost: (job: Job) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Finds the requests that an upstream has dropped without a word. */
export type LostRequestDetector = {
	/** Begins to watch an upstream that was sent a request. */
	scheduleCheck(upstream: LocalUpstream): void;
	/** Takes in the load that an upstream reports; a job that it answers with that is marked as answered before. */
	recordLoad(upstream: LocalUpstream, load: GateLoad): void;
};

/** Time between two looks at the unanswered requests of an upstream, ms. */
const checkIntervalMs = 100;

/** Time after a report in which answers that were on their way have come, ms; a busy node reads them late. */
const confirmMs = 50;

/** Least time between two log lines about an upstream, ms. */
const logIntervalMs = 1000;

/** Lists the requests that an upstream has read and begun no answer to. */
function listRead(upstream: LocalUpstream, at: number): readonly Job[] {
	return [...upstream.sent].filter(
		(job) => !job.isAnswered && job.fullySentAt <= at - readMarginMs,
	);
}

/**
 * Creates the watch over requests that an upstream does not answer.
 *
 * @param options - see `SilenceWatchOptions`
 * @returns the watch
 */
export function createLostRequestDetector(
	options: LostRequestDetectorOptions,
): LostRequestDetector {
	const {logger, probeLoad, onLost, now} = options;

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

	function endSilent(job: Job, lost: number): void {
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

		onLost(job);
	}

	/** Ends requests that a report lacks, once answers on their way have come. */
	function confirmLost(
		upstream: LocalUpstream,
		read: readonly Job[],
		{isIdle, lost}: UpstreamWork,
	): void {
		const unanswered = read.filter(
			(job) => upstream.sent.has(job) && !job.isAnswered,
		);
		// Those that were answered meanwhile may be the ones that it lacked.
		const left = isIdle ? lost - (read.length - unanswered.length) : lost;
		const suspects = unanswered
			.toSorted(
				(a, b) => a.fullySentAt + a.serviceMs - b.fullySentAt - b.serviceMs,
			)
			.slice(0, Math.max(0, left));
		for (const job of suspects) {
			if (decide(job) === 'silent') {
				endSilent(job, left);
			}
		}
	}

	function recordLoad(upstream: LocalUpstream, load: GateLoad): void {
		const at = now();
		let unanswered = 0;
		let readCount = 0;
		for (const job of upstream.sent) {
			if (!job.isAnswered) {
				unanswered++;
				readCount += job.fullySentAt <= at - readMarginMs ? 1 : 0;
			}
		}

		const work = computeUpstreamWork(
			upstream.work,
			{load, unanswered, read: readCount},
			at,
		);
		upstream.work = work;
		if (work.lost > 0 && !upstream.lossConfirmTimer) {
			const read = listRead(upstream, at);
			upstream.lossConfirmTimer = setTimeout(() => {
				upstream.lossConfirmTimer = undefined;
				confirmLost(upstream, read, work);
			}, confirmMs);
			upstream.lossConfirmTimer.unref();
		}
	}

	async function askLoad(upstream: LocalUpstream): Promise<void> {
		upstream.probedAt = now();
		const load = await probeLoad?.(upstream.announcement);
		if (load) {
			recordLoad(upstream, load);
		}
	}

	function check(upstream: LocalUpstream): void {
		upstream.lossCheckTimer = undefined;
		const isUnknown = [...upstream.sent].some(
			(job) => !job.isAnswered && decide(job) === 'probe',
		);
		if (isUnknown) {
			void askLoad(upstream);
		}

		scheduleCheck(upstream);
	}

	function scheduleCheck(upstream: LocalUpstream): void {
		const isWatched = upstream.lossCheckTimer !== undefined;
		if (!probeLoad || isWatched || upstream.sent.size === 0) {
			return;
		}

		upstream.lossCheckTimer = setTimeout(check, checkIntervalMs, upstream);
		upstream.lossCheckTimer.unref();
	}

	return {scheduleCheck, recordLoad};
}
