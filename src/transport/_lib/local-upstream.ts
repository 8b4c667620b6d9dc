import type {Agent} from 'node:http';
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
import {loadTrustMs, usualObjectivePart} from '../../protocol/constants.js';
import type {Announcement} from '../../protocol/member.js';
import {formatService} from '../../state/format-service.js';
import {createPooledAgent} from './create-pooled-agent.js';
import {readNotice} from './local-notice.js';
import type {SentRequest} from './send-request.js';

/** Least expected rest of a running request, ms: one that takes longer than expected may end at any time. */
const minRestMs = 2;

/** An attempt that a gate has admitted. */
export type Job = {
	readonly attempt: Attempt;
	readonly upstream: LocalUpstream;
	/** Trace context of the gate's hop. */
	readonly traceparent: string | undefined;
	/** Monotonic ms. */
	readonly admittedAt: number;
	readonly deadlineAt: number;
	/** When it is given up if it still waits, monotonic ms. */
	readonly queueExpiresAt: number;
	/** Until when it can be sent and still be answered within its objective, monotonic ms. */
	readonly latestStartAt: number;
	readonly startTag: number;
	/** Whether its answer was expected after its objective. */
	readonly isLate: boolean;
	/** Expected time at the upstream, ms. */
	readonly serviceMs: number;
	/** Expected time with the wait for a slot, ms. */
	readonly expectedMs: number;
	readonly priority: number;
	/** When it came plus the objective of its route, monotonic ms. */
	readonly dueAt: number;
	readonly result: Promise<AttemptResult>;
	readonly resolve: (result: AttemptResult) => void;
	phase: 'queued' | 'sent' | 'finished';
	/** Monotonic ms; 0 before it was sent. */
	sentAt: number;
	sent: SentRequest | undefined;
	/** When all of it had been sent, monotonic ms; infinite before. */
	fullySentAt: number;
	/** Whether the head of its answer has come. */
	isAnswered: boolean;
	/** Why the job was ended early, if it was. */
	earlyEndReason: EarlyEndReason | undefined;
};

/** Why a gate ends an attempt that its upstream has not answered. */
export type EarlyEndReason =
	| 'deadline'
	| 'cancelled'
	/** The upstream does not work on it. */
	| 'unanswered';

/** An upstream on the gate's own host. */
export type LocalUpstream = {
	/** Identifier under which it announced itself. */
	readonly id: string;
	announcement: Announcement;
	readonly agent: Agent;
	readonly queue: PQueue;
	readonly fairQueue: FairQueue;
	/** Queued jobs of each team, in the order in which they go. */
	readonly queued: Map<string, Job[]>;
	queuedCount: number;
	/** What each team has lately started here. */
	readonly teamUses: Map<string, TeamUse>;
	/** Jobs of each team that are in a slot. */
	readonly running: Map<string, number>;
	inFlight: number;
	/** Jobs that have been sent. */
	readonly sent: Set<Job>;
	/** Mean time of all requests, and of those of each route. */
	serviceTime: ServiceTime | undefined;
	readonly routeTimes: Map<string, ServiceTime>;
	/** Work of the attempts that came in time, admitted or not. */
	utilization: Utilization | undefined;
	/** By how much answers come later than expected, in parts of their time. */
	marginRatio: number;
	/** Whether an answer or another node has said that it leaves; for good in this life. */
	isLeaving: boolean;
	/** Undefined when it names none. */
	rateLimit: RateLimit | undefined;
	/** Whether an answer has said how it stands since the gate knows it. */
	hasReported: boolean;
	/** What it works on by its last report; undefined before one. */
	work: UpstreamWork | undefined;
	/** When it was last asked for its load, monotonic ms. */
	probedAt: number;
	/** When its silence was last logged, monotonic ms. */
	lossLoggedAt: number;
	/** Fires when answers that a report lacked would have come. */
	lossConfirmTimer: NodeJS.Timeout | undefined;
	/** Fires when its unanswered requests are looked at. */
	lossCheckTimer: NodeJS.Timeout | undefined;
	/** Fires when a queued job has its turn under the rate limit. */
	rateLimitTimer: NodeJS.Timeout | undefined;
};

/**
 * Creates the gate's record of an upstream, with its connections and slots.
 *
 * @param id - identifier under which the upstream announced itself
 * @param announcement - how the upstream announced itself
 * @returns the record
 */
export function createLocalUpstream(
	id: string,
	announcement: Announcement,
): LocalUpstream {
	return {
		id,
		announcement,
		agent: createPooledAgent({maxSockets: announcement.connections}),
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
		utilization: undefined,
		marginRatio: defaultMarginRatio,
		isLeaving: false,
		rateLimit: undefined,
		hasReported: false,
		work: undefined,
		probedAt: Number.NEGATIVE_INFINITY,
		lossLoggedAt: Number.NEGATIVE_INFINITY,
		lossConfirmTimer: undefined,
		lossCheckTimer: undefined,
		rateLimitTimer: undefined,
	};
}

/** A service's upstream on the host. */
export type FoundUpstream = {
	readonly state: AdmissionInput['state'];
	/** Undefined when there is none, ready or leaving. */
	readonly upstream: LocalUpstream | undefined;
};

/**
 * Finds the least loaded upstream of a service.
 *
 * @param upstreams - all upstreams of the host
 * @param service - full name of the service
 * @returns the upstream, a ready one if there is one, and how the service stands on the host
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
 * @param route - name of the route whose time is given too
 * @returns its load, as piggybacked on answers
 */
export function readLocalLoad(
	upstream: LocalUpstream,
	now: number,
	route?: string,
): GateLoad {
	const notice = readNotice(upstream, now);
	return {
		inFlight: upstream.inFlight,
		queued: upstream.queuedCount,
		slots: upstream.announcement.slots,
		serviceMs: upstream.serviceTime?.meanMs,
		routeMs:
			route === undefined ? undefined : upstream.routeTimes.get(route)?.meanMs,
		...(notice && {notice}),
	};
}

/**
 * Reads how many slots of an upstream are taken, also by work that the gate has
 * not sent, or has given up. One slot is always left to its own requests: only
 * their answers tell when that work is over.
 *
 * @param upstream - the upstream
 * @param now - monotonic ms
 * @returns the number of slots
 */
export function readOccupiedSlots(
	{inFlight, work, announcement}: LocalUpstream,
	now: number,
): number {
	const isKnown = work !== undefined && now - work.at < loadTrustMs;
	return isKnown
		? inFlight + Math.min(work.foreignRequests, announcement.slots - 1)
		: inFlight;
}

/**
 * Reads the expected time of a request at an upstream.
 *
 * @param upstream - the upstream
 * @param attempt - the request's attempt
 * @param now - monotonic ms
 * @returns the time, ms; before the first answer a part of the objective
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
		: objectiveMs * usualObjectivePart;
}

/**
 * Notes how long a request has taken.
 *
 * @param upstream - the upstream
 * @param route - name of the request's route, if it has one
 * @param durationMs - time from its sending to its end
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
 * Notes how much later than expected an attempt that was to be in time was
 * answered.
 *
 * @param job - the attempt
 * @param endedAt - when it was answered, monotonic ms
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
	/** Among the requests that can be in time. */
	readonly waitMs: number;
	/** Behind all that is queued. */
	readonly lateWaitMs: number;
	/** Part of the first that the rate limit alone asks for. */
	readonly rateLimitWaitMs: number;
};

/**
 * Computes how long a new request would wait at an upstream.
 *
 * @param upstream - the upstream
 * @param order - the request's place in the order
 * @param now - monotonic ms
 * @returns the waits
 */
export function computeLocalWait(
	upstream: LocalUpstream,
	order: Pick<WaitingRequest, 'priority' | 'dueAt'>,
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
	const runningMs = [...upstream.sent].map((job) =>
		Math.max(minRestMs, job.sentAt + expectedMs(job) - now),
	);
	const queued = [...upstream.queued.values()].flat();
	const next = {...order, isLate: false};
	const ahead = queued.filter((job) => compareWaiting(job, next) <= 0);
	const turnWaitMs = computeRateLimitWait(rateLimit, ahead.length, now);
	const lateTurnWaitMs = computeRateLimitWait(rateLimit, queuedCount, now);
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
		waitMs: Math.max(slotWaitMs, turnWaitMs),
		lateWaitMs: Math.max(lateSlotWaitMs, lateTurnWaitMs),
		rateLimitWaitMs: turnWaitMs,
	};
}

/**
 * Finds the queued jobs of the team that has most of them.
 *
 * @param upstream - the upstream
 * @returns the jobs, oldest first
 */
export function findLongestQueue(upstream: LocalUpstream): readonly Job[] {
	let longest: readonly Job[] = [];
	for (const own of upstream.queued.values()) {
		longest = own.length > longest.length ? own : longest;
	}

	return longest;
}

/**
 * Puts a job among the queued ones of its team, at its place in their order.
 *
 * @param job - the job
 */
export function addToLocalQueue(job: Job): void {
	const {upstream, attempt} = job;
	const own = upstream.queued.get(attempt.team);
	if (own) {
		const index = own.findLastIndex((other) => compareWaiting(other, job) <= 0);
		own.splice(index + 1, 0, job);
	} else {
		upstream.queued.set(attempt.team, [job]);
	}

	upstream.queuedCount++;
}

/**
 * Takes a job from the queued ones of its team.
 *
 * @param job - the job
 */
export function removeFromLocalQueue(job: Job): void {
	const {upstream, attempt} = job;
	const own = upstream.queued.get(attempt.team)!;
	own.splice(own.indexOf(job), 1);
	upstream.queuedCount--;
	if (own.length === 0) {
		upstream.queued.delete(attempt.team);
	}
}

/**
 * Counts the queued jobs that fair order serves before a new one of a team.
 *
 * @param upstream - the upstream
 * @param team - team of the new job
 * @returns how many are ahead
 */
export function countAhead(upstream: LocalUpstream, team: string): number {
	const own = upstream.queued.get(team)?.length ?? 0;
	let ahead = 0;
	for (const jobs of upstream.queued.values()) {
		ahead += Math.min(jobs.length, own + 1);
	}

	return ahead;
}
