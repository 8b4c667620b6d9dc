import {Agent} from 'node:http';
import PQueue from 'p-queue';
import {
	compareWaiting,
	type WaitingRequest,
} from '../../coordination/compare-waiting.js';
import {computeWaitMs} from '../../coordination/compute-wait.js';
import {computeRateLimitWait} from '../../coordination/compute-rate-limit-wait.js';
import {
	createFairQueue,
	type FairQueue,
} from '../../coordination/create-fair-queue.js';
import {
	defaultMarginRatio,
	type AdmissionInput,
} from '../../coordination/decide-admission.js';
import {pickEvicted} from '../../coordination/shedding/pick-evicted.js';
import type {ServedShares} from '../../coordination/shedding/step-served-shares.js';
import type {RateLimit} from '../../coordination/rate-limit.js';
import {readServiceTime} from '../../coordination/read-service-time.js';
import {
	stepServiceTime,
	type ServiceTime,
} from '../../coordination/step-service-time.js';
import type {UpstreamWork} from '../../coordination/compute-upstream-work.js';
import {stepTimeMargin} from '../../coordination/step-time-margin.js';
import type {TeamUse} from '../../coordination/step-team-use.js';
import type {Utilization} from '../../coordination/step-utilization.js';
import type {Attempt, AttemptResult, GateLoad} from '../../protocol/attempt.js';
import {
	loadExpiryMs,
	defaultObjectiveRatio,
	msPerSecond,
} from '../../protocol/constants.js';
import type {Announcement} from '../../protocol/member.js';
import {formatService} from '../../state/format-service.js';
import {hasPrecedence} from './has-precedence.js';
import {createPooledAgent} from './create-pooled-agent.js';
import {readNotice} from './local-notice.js';
import {createRecentSet, type RecentSet} from './create-recent-set.js';
import type {SentRequest} from './send-request.js';
import type {PostPollTimer} from './start-post-poll-timer.js';

/** Minimum estimate of a running request's remaining time, ms; a request that exceeds its estimate may end at any time. */
const minRemainingMs = 2;

/** Time in which a refused request may come to the same upstream again, ms; longer than most deadlines. */
const shedRetentionMs = 10 * msPerSecond;

const maxShedRequests = 4096;

/** An attempt that a gate has admitted. */
export type Job = {
	readonly attempt: Attempt;
	readonly upstream: LocalUpstream;
	/** Trace context of the gate's hop. */
	readonly traceparent: string | undefined;
	/** Monotonic ms. */
	readonly admittedAt: number;
	readonly deadlineAt: number;
	/** When the job is refused if it is still queued, monotonic ms. */
	readonly queueExpiresAt: number;
	/** Latest time at which the job can be sent and still be answered within its objective, monotonic ms. */
	readonly latestStartAt: number;
	readonly startTag: number;
	/** Whether, at admission, the response was expected after the objective. */
	readonly isLate: boolean;
	/** Expected service time at the upstream, ms. */
	readonly serviceMs: number;
	/** Expected wait for a slot plus service time, ms. */
	readonly expectedMs: number;
	readonly priority: number;
	/** Admission time plus the objective of the route, monotonic ms. */
	readonly dueAt: number;
	/** Whether a running request waits for it. */
	readonly isNested: boolean;
	readonly result: Promise<AttemptResult>;
	readonly resolve: (result: AttemptResult) => void;
	phase: 'queued' | 'sent' | 'finished';
	/** Monotonic ms; 0 until the job is sent. */
	sentAt: number;
	sent: SentRequest | undefined;
	/** When the first byte of the request could be sent, monotonic ms; undefined until then. */
	firstByteAt: number | undefined;
	/** When the last byte of the request was sent, monotonic ms; infinity until then. */
	fullySentAt: number;
	/** Whether the request may be one that crashes its upstreams; updated until the job is sent. */
	isSuspect: boolean;
	/** Whether the head of the response has been received. */
	isAnswered: boolean;
	/** Whether the upstream does not seem to work on the request. */
	isLost: boolean;
	/** Why the job was ended early; undefined if it was not. */
	earlyEndReason: EarlyEndReason | undefined;
};

/** End of a sent job without a response. */
export type EndedJob = {
	/** Whether its connection was lost, or the gate has closed it. */
	readonly end: 'lost' | 'aborted';
	/** Monotonic ms. */
	readonly endedAt: number;
};

/** Reason why a gate ends an attempt before its upstream has answered. */
export type EarlyEndReason = 'deadline' | 'cancelled';

/** An upstream on the gate's own host. */
export type LocalUpstream = {
	/** Identifier under which it announced itself. */
	readonly id: string;
	announcement: Announcement;
	readonly agent: Agent;
	/** Opens a new connection for each request. */
	readonly unpooledAgent: Agent;
	/** Requests that the upstream has refused; a kept connection may bring that refusal once more. */
	readonly shedRequests: RecentSet;
	readonly queue: PQueue;
	readonly fairQueue: FairQueue;
	/** Queued jobs of each team, in the order in which they will start. */
	readonly queued: Map<string, Job[]>;
	queuedCount: number;
	/** Recent job starts of each team. */
	readonly teamUses: Map<string, TeamUse>;
	/** Number of jobs of each team that occupy a slot. */
	readonly running: Map<string, number>;
	inFlight: number;
	/** Jobs that have been sent and occupy a slot. */
	readonly sent: Set<Job>;
	/** Mean service time of all requests; `routeTimes` has that of each route. */
	serviceTime: ServiceTime | undefined;
	readonly routeTimes: Map<string, ServiceTime>;
	/** How many calls and how much new work took slots lately; undefined until a nested call has arrived. */
	servedShares: ServedShares | undefined;
	/** Load of all attempts that arrived in time, whether admitted or not. */
	utilization: Utilization | undefined;
	/** By how much responses exceed their expected time, as a ratio of that time. */
	marginRatio: number;
	/** Whether a response or another node has said that the upstream is leaving; final for its incarnation. */
	isLeaving: boolean;
	/** Undefined when the upstream states no limit. */
	rateLimit: RateLimit | undefined;
	/** Whether the gate has received a response with a complete report from this upstream. */
	hasReported: boolean;
	/** Work in progress according to the last report; undefined before the first one. */
	work: UpstreamWork | undefined;
	/** When the gate last queried the load, monotonic ms. */
	probedAt: number;
	/** When lost requests were last logged, monotonic ms. */
	lossLoggedAt: number;
	/** When the answer to a request that seemed lost was last logged, monotonic ms. */
	lateAnswerLoggedAt: number;
	/** Sent jobs that have ended without a response since the upstream last sent one. */
	readonly endedJobs: Map<Job, EndedJob>;
	/** Identifier of the upstream's crash; undefined while it lives. */
	crashId: string | undefined;
	/** Whether a connection is being opened to find out if the upstream has crashed. */
	isCrashProbed: boolean;
	/** Fires after a report, once responses in transit have had time to arrive. */
	lossConfirmTimer: PostPollTimer | undefined;
	/** Fires when the unanswered requests are checked next. */
	lossCheckTimer: NodeJS.Timeout | undefined;
	/** Fires when the rate limit admits the next queued job. */
	rateLimitTimer: NodeJS.Timeout | undefined;
};

/**
 * Creates the gate's record of an upstream, with its connections and slots.
 *
 * @param id - identifier under which the upstream announced itself
 * @param announcement - the upstream's announcement
 * @param now - returns monotonic ms
 * @returns the record
 */
export function createLocalUpstream(
	id: string,
	announcement: Announcement,
	now: () => number,
): LocalUpstream {
	return {
		id,
		announcement,
		agent: createPooledAgent({maxSockets: announcement.connections}),
		unpooledAgent: new Agent({
			keepAlive: false,
			maxSockets: announcement.slots,
		}),
		shedRequests: createRecentSet({
			retentionMs: shedRetentionMs,
			maxKeys: maxShedRequests,
			now,
		}),
		queue: new PQueue({concurrency: announcement.slots}),
		fairQueue: createFairQueue(),
		queued: new Map(),
		queuedCount: 0,
		teamUses: new Map(),
		running: new Map(),
		inFlight: 0,
		sent: new Set(),
		serviceTime: undefined,
		routeTimes: new Map(),
		servedShares: undefined,
		utilization: undefined,
		marginRatio: defaultMarginRatio,
		isLeaving: false,
		rateLimit: undefined,
		hasReported: false,
		work: undefined,
		probedAt: Number.NEGATIVE_INFINITY,
		lossLoggedAt: Number.NEGATIVE_INFINITY,
		lateAnswerLoggedAt: Number.NEGATIVE_INFINITY,
		endedJobs: new Map(),
		crashId: undefined,
		isCrashProbed: false,
		lossConfirmTimer: undefined,
		lossCheckTimer: undefined,
		rateLimitTimer: undefined,
	};
}

/** A service's upstream on the host. */
export type FoundUpstream = {
	readonly state: AdmissionInput['state'];
	/** Undefined if there is neither a ready nor a leaving upstream. */
	readonly upstream: LocalUpstream | undefined;
};

/**
 * Finds the least loaded upstream of a service.
 *
 * @param upstreams - all upstreams of the host
 * @param service - full name of the service
 * @returns the upstream, preferably a ready one, and the state of the service on the host
 */
export function findLocalUpstream(
	upstreams: Iterable<LocalUpstream>,
	service: string,
): FoundUpstream {
	let found: LocalUpstream | undefined;
	let leaving: LocalUpstream | undefined;
	for (const upstream of upstreams) {
		const {announcement} = upstream;
		if (formatService(announcement) !== service) {
			continue;
		}

		if (upstream.isLeaving || announcement.state === 'leaving') {
			leaving = upstream;
		} else if (!found || upstream.inFlight < found.inFlight) {
			found = upstream;
		}
	}

	if (found) {
		return {state: 'ready', upstream: found};
	}

	return {state: leaving ? 'leaving' : 'no-upstream', upstream: leaving};
}

/**
 * Reads the load of an upstream.
 *
 * @param upstream - the upstream
 * @param now - monotonic ms
 * @param route - name of the route whose service time is included
 * @returns the load, as piggybacked on responses
 */
export function readLocalLoad(
	upstream: LocalUpstream,
	now: number,
	route?: string,
): GateLoad {
	const notice = readNotice(upstream, now);
	const load = {
		inFlight: upstream.inFlight,
		queued: upstream.queuedCount,
		slots: upstream.announcement.slots,
		serviceMs: upstream.serviceTime?.meanMs,
		routeMs:
			route === undefined ? undefined : upstream.routeTimes.get(route)?.meanMs,
	};
	return notice ? {...load, notice} : load;
}

/**
 * Reads how many slots of an upstream are occupied, including those of work that
 * the gate has not sent or no longer waits for. That work never counts for all
 * slots: one stays available to the gate's own requests, because only their
 * responses show when the other work has ended.
 *
 * @param upstream - the upstream
 * @param now - monotonic ms
 * @returns the number of slots
 */
export function readOccupiedSlots(
	{inFlight, work, announcement}: LocalUpstream,
	now: number,
): number {
	const isKnown = work !== undefined && now - work.at < loadExpiryMs;
	return isKnown
		? inFlight + Math.min(work.foreignRequests, announcement.slots - 1)
		: inFlight;
}

/**
 * Reads the expected service time of a request at an upstream.
 *
 * @param upstream - the upstream
 * @param attempt - the request's attempt
 * @param now - monotonic ms
 * @returns the time, ms; before the first response, a fraction of the objective
 */
export function readExpectedServiceTime(
	upstream: LocalUpstream,
	{route, objectiveMs}: Pick<Attempt, 'route' | 'objectiveMs'>,
	now: number,
): number {
	const known =
		route === undefined ? undefined : upstream.routeTimes.get(route);
	return known !== undefined || objectiveMs === undefined
		? readServiceTime(known ?? upstream.serviceTime, now)
		: objectiveMs * defaultObjectiveRatio;
}

/**
 * Records the service time of a request.
 *
 * @param upstream - the upstream
 * @param route - name of the request's route, if it has one
 * @param durationMs - time from sending the request to its end, ms
 * @param now - monotonic ms
 */
export function recordServiceTime(
	upstream: LocalUpstream,
	route: string | undefined,
	durationMs: number,
	now: number,
): void {
	const {routeTimes} = upstream;
	upstream.serviceTime = stepServiceTime(upstream.serviceTime, durationMs, now);
	if (route !== undefined) {
		routeTimes.set(
			route,
			stepServiceTime(routeTimes.get(route), durationMs, now),
		);
	}
}

/**
 * Records by how much an attempt exceeded its expected time. Attempts that were
 * expected to miss their objective are ignored.
 *
 * @param job - the attempt
 * @param endedAt - when the response was complete, monotonic ms
 */
export function recordTimeMargin(job: Job, endedAt: number): void {
	const {upstream, serviceMs, expectedMs} = job;
	if (!job.isLate) {
		upstream.marginRatio = stepTimeMargin(upstream.marginRatio, {
			serviceMs,
			expectedMs,
			actualMs: endedAt - job.admittedAt,
		});
	}
}

/** Expected waits at an upstream, ms. */
export type LocalWait = {
	/** Wait of a request that can meet its objective. */
	readonly waitMs: number;
	/** Wait behind all queued requests. */
	readonly lateWaitMs: number;
	/** Wait that the rate limit alone requires, with the same requests ahead as for `waitMs`. */
	readonly rateLimitWaitMs: number;
};

/**
 * Computes how long a new request would wait at an upstream.
 *
 * @param upstream - the upstream
 * @param order - properties that determine the request's place in the queue
 * @param now - monotonic ms
 * @returns the waits
 */
export function computeLocalWait(
	upstream: LocalUpstream,
	order: Omit<WaitingRequest, 'isLate'>,
	now: number,
): LocalWait {
	const {rateLimit, queuedCount} = upstream;
	const {slots} = upstream.announcement;
	if (readOccupiedSlots(upstream, now) < slots && queuedCount === 0) {
		const rateLimitWaitMs = computeRateLimitWait(rateLimit, 0, now);
		return {
			waitMs: rateLimitWaitMs,
			lateWaitMs: rateLimitWaitMs,
			rateLimitWaitMs,
		};
	}

	const expectedMs = ({attempt}: Job): number =>
		readExpectedServiceTime(upstream, attempt, now);
	const runningMs = [...upstream.sent].map((job) => {
		const endsAt = job.isLost ? job.deadlineAt : job.sentAt + expectedMs(job);
		return Math.max(minRemainingMs, endsAt - now);
	});
	const queued = [...upstream.queued.values()].flat();
	const next = {...order, isLate: false};
	const ahead = queued.filter((job) => compareWaiting(job, next) <= 0);
	const rateLimitWaitMs = computeRateLimitWait(rateLimit, ahead.length, now);
	const lateRateLimitWaitMs = computeRateLimitWait(rateLimit, queuedCount, now);
	const slotWaitMs = computeWaitMs({
		slots,
		runningMs,
		aheadMs: ahead.map((job) => expectedMs(job)),
	});
	const lateSlotWaitMs = computeWaitMs({
		slots,
		runningMs,
		aheadMs: queued.map((job) => expectedMs(job)),
	});
	return {
		waitMs: Math.max(slotWaitMs, rateLimitWaitMs),
		lateWaitMs: Math.max(lateSlotWaitMs, lateRateLimitWaitMs),
		rateLimitWaitMs,
	};
}

/**
 * Finds the queued jobs of the team with the longest queue.
 *
 * @param upstream - the upstream
 * @returns the jobs, in queue order
 */
export function findLongestQueue(upstream: LocalUpstream): readonly Job[] {
	let longest: readonly Job[] = [];
	for (const teamJobs of upstream.queued.values()) {
		longest = teamJobs.length > longest.length ? teamJobs : longest;
	}

	return longest;
}

/**
 * Finds the queued job to evict for an attempt.
 *
 * @param upstream - the upstream, whose queue is full
 * @param attempt - the attempt that is admitted in its place
 * @returns the last new work for a nested call, otherwise the last job of the team with the longest queue
 */
export function findEvicted(upstream: LocalUpstream, attempt: Attempt): Job {
	const newWork = hasPrecedence(attempt)
		? pickEvicted([...upstream.queued.values()].flat())
		: undefined;
	return newWork ?? findLongestQueue(upstream).at(-1)!;
}

/**
 * Inserts a job into its team's queue, in the order of `compareWaiting`.
 *
 * @param job - the job
 */
export function addToLocalQueue(job: Job): void {
	const {upstream, attempt} = job;
	const teamJobs = upstream.queued.get(attempt.team);
	if (teamJobs) {
		const index = teamJobs.findLastIndex(
			(other) => compareWaiting(other, job) <= 0,
		);
		teamJobs.splice(index + 1, 0, job);
	} else {
		upstream.queued.set(attempt.team, [job]);
	}

	upstream.queuedCount++;
}

/**
 * Removes a job from its team's queue.
 *
 * @param job - the job
 */
export function removeFromLocalQueue(job: Job): void {
	const {upstream, attempt} = job;
	const teamJobs = upstream.queued.get(attempt.team)!;
	teamJobs.splice(teamJobs.indexOf(job), 1);
	upstream.queuedCount--;
	if (teamJobs.length === 0) {
		upstream.queued.delete(attempt.team);
	}
}

/**
 * Counts the queued jobs that fair queueing serves before a new job of a team.
 *
 * @param upstream - the upstream
 * @param team - team of the new job
 * @returns the number of jobs
 */
export function countAhead(upstream: LocalUpstream, team: string): number {
	if (upstream.queuedCount === 0) {
		return 0;
	}

	const teamQueued = upstream.queued.get(team)?.length ?? 0;
	let ahead = 0;
	for (const jobs of upstream.queued.values()) {
		ahead += Math.min(jobs.length, teamQueued + 1);
	}

	return ahead;
}
