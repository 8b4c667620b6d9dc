import PQueue from 'p-queue';
import type {Agent} from 'node:http';
import {
	createFairQueue,
	type FairQueue,
} from '../../coordination/create-fair-queue.js';
import type {AdmissionInput} from '../../coordination/decide-admission.js';
import type {ServiceTime} from '../../coordination/step-service-time.js';
import type {TeamUse} from '../../coordination/step-team-use.js';
import type {Attempt, AttemptResult, GateLoad} from '../../protocol/attempt.js';
import type {Announcement} from '../../protocol/member.js';
import {formatService} from '../../state/format-service.js';
import {createPooledAgent} from './create-pooled-agent.js';
import type {SentRequest} from './send-request.js';

/** An attempt that a gate has admitted. */
export type Job = {
	readonly attempt: Attempt;
	readonly upstream: LocalUpstream;
	/** Trace context of the gate's hop. */
	readonly traceparent: string | undefined;
	/** Monotonic ms. */
	readonly admittedAt: number;
	readonly deadlineAt: number;
	readonly startTag: number;
	readonly result: Promise<AttemptResult>;
	readonly resolve: (result: AttemptResult) => void;
	phase: 'queued' | 'sent' | 'over';
	/** Monotonic ms; 0 before it was sent. */
	sentAt: number;
	sent: SentRequest | undefined;
	/** Why the job was ended early, if it was. */
	endedBy: 'deadline' | 'cancelled' | undefined;
};

/** An upstream on the gate's own host. */
export type LocalUpstream = {
	/** Identifier under which it announced itself. */
	readonly id: string;
	announcement: Announcement;
	readonly agent: Agent;
	readonly queue: PQueue;
	readonly fairQueue: FairQueue;
	/** Queued jobs of each team, oldest first. */
	readonly queued: Map<string, Job[]>;
	queuedCount: number;
	/** What each team has lately started here. */
	readonly teamUses: Map<string, TeamUse>;
	/** Jobs of each team that are in a slot. */
	readonly running: Map<string, number>;
	inFlight: number;
	serviceTime: ServiceTime | undefined;
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
		serviceTime: undefined,
	};
}

/** A service's upstream on the host. */
export type FoundUpstream = {
	readonly state: AdmissionInput['state'];
	/** Defined when the state is `ready`. */
	readonly upstream: LocalUpstream | undefined;
};

/**
 * Finds the least loaded upstream of a service.
 *
 * @param upstreams - all upstreams of the host
 * @param service - full name of the service
 * @returns the upstream if one is ready, and how the service stands on the host
 */
export function findLocalUpstream(
	upstreams: Iterable<LocalUpstream>,
	service: string,
): FoundUpstream {
	let found: LocalUpstream | undefined;
	let isLeaving = false;
	for (const upstream of upstreams) {
		const {announcement} = upstream;
		if (formatService(announcement) !== service) {
			continue;
		}

		if (announcement.state === 'leaving') {
			isLeaving = true;
		} else if (!found || upstream.inFlight < found.inFlight) {
			found = upstream;
		}
	}

	if (found) {
		return {state: 'ready', upstream: found};
	}

	return {state: isLeaving ? 'leaving' : 'no-upstream', upstream: undefined};
}

/**
 * Reads the load of an upstream.
 *
 * @param upstream - the upstream
 * @returns its load, as piggybacked on answers
 */
export function readLocalLoad(upstream: LocalUpstream): GateLoad {
	return {
		inFlight: upstream.inFlight,
		queued: upstream.queuedCount,
		slots: upstream.announcement.slots,
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
 * Puts a job among the queued ones of its team.
 *
 * @param job - the job
 */
export function enterLocalQueue(job: Job): void {
	const {upstream, attempt} = job;
	const own = upstream.queued.get(attempt.team);
	if (own) {
		own.push(job);
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
export function leaveLocalQueue(job: Job): void {
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
