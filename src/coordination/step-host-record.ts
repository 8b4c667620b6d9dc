import {
	ejectionBaseMs,
	ejectionCapMs,
	ejectionErrorShare,
	ejectionMinSamples,
	msPerSecond,
	unreachableBaseMs,
	unreachableCapMs,
} from '../protocol/constants.js';
import type {GateLoad} from '../protocol/attempt.js';
import {computeUsableRate} from './compute-usable-rate.js';

/** What a caller's node knows of a host, from its own requests. */
export type HostRecord = {
	/** Requests that this node has in flight on the host. */
	readonly ownInFlight: number;
	/** Load by others that the host last reported, as a share of its slots. */
	readonly reportedShare: number;
	/** Mean time that its upstream takes, ms; 0 when not known. */
	readonly serviceMs?: number;
	/** Expected time of the requests of a route at its upstream, ms. */
	readonly routeMs?: ReadonlyMap<string, number>;
	/** The rate limit of its upstream, if its gate last told of one. */
	readonly rateLimit?: HostRateLimit | undefined;
	/** When it was reported, monotonic ms; negative infinity when never. */
	readonly reportedAt: number;
	/** Share of recent attempts that failed, 0 to 1. */
	readonly errorShare: number;
	/** Mean time of recent answers, ms; 0 before the first. */
	readonly latencyMs: number;
	/** Attempts that ended since the host was last put back. */
	readonly samples: number;
	/** Since when the host has been in use, monotonic ms. */
	readonly inUseSince: number;
	/** Until when the host is not picked, monotonic ms. */
	readonly ejectedUntil: number;
	/** Ejections in a row. */
	readonly ejections: number;
	/** Until when the host has no room for a kind of demand, monotonic ms. */
	readonly fullUntil?: ReadonlyMap<string, number>;
	/** Refusals in a row of a kind of demand for want of room. */
	readonly refusals?: ReadonlyMap<string, number>;
	/** When an attempt was last sent, monotonic ms. */
	readonly sentAt?: number;
	/** Attempts in a row that could not be sent. */
	readonly unreachable?: number;
	/** Since when nothing was heard while attempts were in flight, monotonic ms. */
	readonly silentSince?: number | undefined;
};

/** The rate limit of a host's upstream, as a caller's node knows it. */
export type HostRateLimit = {
	readonly perSecond: number;
	/** When the next request is expected to have its turn, monotonic ms. */
	readonly nextSendAt: number;
};

/** What happened with an attempt on a host. */
export type HostMessage =
	| {
			readonly kind: 'sent';
			/** Whether the host is another one, so that it can fall silent. */
			readonly isRemote?: boolean;
	  }
	/** The host gave a sign of life. */
	| {readonly kind: 'heard'}
	| {
			readonly kind: 'ended';
			/** `refused` says nothing about the host's health. */
			readonly outcome:
				| 'answered'
				| 'failed'
				| 'refused'
				/** The host has no room for requests of this route. */
				| 'full'
				| 'unreachable';
			readonly latencyMs: number;
			/** Whether the host itself said so; so when absent. */
			readonly isHeard?: boolean;
			/** Name of the request's route, if it has one. */
			readonly route?: string | undefined;
			/** Names requests that hosts admit alike; the route when absent. */
			readonly admissionClass?: string | undefined;
			/** After which time the host said that it may have room, ms. */
			readonly retryAfterMs?: number | undefined;
			readonly load: GateLoad | undefined;
	  };

type EndedMessage = HostMessage & {readonly kind: 'ended'};

/** What a step depends on besides record and message. */
export type HostContext = {
	/** Monotonic ms. */
	readonly now: number;
	/** A number from 0 up to 1. */
	readonly random: number;
	/** Mean time of answers over the hosts of the service, ms; 0 if unknown. */
	readonly serviceLatencyMs: number;
};

/** Least and longest time for which a host that had no room is not asked again, ms; from a hop to about four requests. */
const minFullMs = 30;
const maxFullMs = 400;

/** Part of the delay that the host named: others may find room before. */
const retryAfterRatio = 0.5;

/** Refusals in a row that are counted; more would not lengthen the time. */
const maxRefusals = 4;

const sampleWeight = 0.1;
const slowFactor = 5;
const maxShare = 8;

/** Creates the record of a host that has just been heard of. */
function createHostRecord(now: number): HostRecord {
	return {
		ownInFlight: 0,
		reportedShare: 0,
		reportedAt: Number.NEGATIVE_INFINITY,
		errorShare: 0,
		latencyMs: 0,
		samples: 0,
		inUseSince: now,
		ejectedUntil: Number.NEGATIVE_INFINITY,
		ejections: 0,
	};
}

const emptyTimes: ReadonlyMap<string, number> = new Map();

function updateRouteTimes(
	times: ReadonlyMap<string, number> | undefined,
	{route, load}: EndedMessage,
): ReadonlyMap<string, number> {
	return route === undefined || load?.routeMs === undefined
		? (times ?? emptyTimes)
		: new Map(times).set(route, load.routeMs);
}

function readAdmissionClass({
	admissionClass,
	route = '',
}: EndedMessage): string {
	return admissionClass ?? route;
}

/**
 * Notes that a host has no room for a kind of demand, for twice as long with
 * each refusal in a row. Answers a lasting overload, where asking hosts that
 * refuse costs two nodes as much as a request that is served.
 */
function recordFull(
	record: HostRecord,
	message: EndedMessage,
	now: number,
): HostRecord {
	const admissionClass = readAdmissionClass(message);
	const {retryAfterMs = 0, load} = message;
	// Under a rate limit there is room again when the host says so.
	const isLimited = load?.notice?.rateLimit !== undefined;
	const before = isLimited ? 0 : (record.refusals?.get(admissionClass) ?? 0);
	const firstMs = Math.max(minFullMs, retryAfterMs * retryAfterRatio);
	const durationMs = Math.min(maxFullMs, firstMs * 2 ** before);
	const refusals = Math.min(maxRefusals, before + 1);
	return {
		...record,
		unreachable: 0,
		fullUntil: new Map(record.fullUntil).set(admissionClass, now + durationMs),
		refusals: new Map(record.refusals).set(admissionClass, refusals),
	};
}

/** Forgets refusals of a kind of demand of which the host has taken one. */
function clearRefusals(record: HostRecord, message: EndedMessage): HostRecord {
	const admissionClass = readAdmissionClass(message);
	if (!record.refusals?.has(admissionClass)) {
		return record;
	}

	const refusals = new Map(record.refusals);
	refusals.delete(admissionClass);
	return {...record, refusals};
}

/** Computes since when nothing was heard, after the end of an attempt. */
function computeSilentSince(
	{ownInFlight, silentSince}: HostRecord,
	{isHeard = true}: EndedMessage,
	now: number,
): number | undefined {
	if (ownInFlight <= 1 || silentSince === undefined) {
		return undefined;
	}

	return isHeard ? now : silentSince;
}

/** The load that others than this node have put on the host. */
function computeReportedShare(load: GateLoad, ownInFlight: number): number {
	const others = Math.max(0, load.inFlight + load.queued - ownInFlight);
	return Math.min(maxShare, others / load.slots);
}

/**
 * Leaves out for a short time a host that could not be connected to. Answers
 * the load pattern of a partition, where each try costs a connect timeout.
 */
function recordUnreachable(
	record: HostRecord,
	context: HostContext,
): HostRecord {
	const unreachable = (record.unreachable ?? 0) + 1;
	const durationMs = Math.min(
		unreachableCapMs,
		unreachableBaseMs * 2 ** (unreachable - 1),
	);
	const ejectedUntil = context.now + durationMs * (0.75 + context.random / 2);
	return {...record, unreachable, ejectedUntil};
}

function isPlausible(load: GateLoad): boolean {
	return load.slots > 0 && load.inFlight <= load.slots;
}

function shouldEject(record: HostRecord, context: HostContext): boolean {
	const {serviceLatencyMs, now} = context;
	return (
		record.ejectedUntil <= now &&
		record.samples >= ejectionMinSamples &&
		(record.errorShare > ejectionErrorShare ||
			(serviceLatencyMs > 0 &&
				record.latencyMs > slowFactor * serviceLatencyMs))
	);
}

function eject(record: HostRecord, context: HostContext): HostRecord {
	const ceiling = Math.min(
		ejectionCapMs,
		ejectionBaseMs * 2 ** record.ejections,
	);
	const ejectedUntil = context.now + ejectionBaseMs + context.random * ceiling;
	return {
		...record,
		ejectedUntil,
		ejections: record.ejections + 1,
		inUseSince: ejectedUntil,
		errorShare: 0,
		latencyMs: 0,
		samples: 0,
	};
}

/** Computes when the next request has its turn after one has taken one. */
function advanceNextSend(
	limit: HostRateLimit | undefined,
	now: number,
): HostRateLimit | undefined {
	return (
		limit && {
			...limit,
			nextSendAt:
				Math.max(now, limit.nextSendAt) +
				msPerSecond / computeUsableRate(limit.perSecond),
		}
	);
}

function readRateLimit(
	{notice}: GateLoad,
	now: number,
): HostRateLimit | undefined {
	const limit = notice?.rateLimit;
	return limit && {perSecond: limit.perSecond, nextSendAt: now + limit.waitMs};
}

/** Takes in what came with the end of an attempt, whatever its outcome. */
function recordReport(
	before: HostRecord,
	message: EndedMessage,
	now: number,
): HostRecord {
	const {load} = message;
	const isKnown = load !== undefined && isPlausible(load);
	return {
		...before,
		ownInFlight: Math.max(0, before.ownInFlight - 1),
		reportedShare: isKnown
			? computeReportedShare(load, before.ownInFlight)
			: before.reportedShare,
		serviceMs: load?.serviceMs ?? before.serviceMs ?? 0,
		routeMs: updateRouteTimes(before.routeMs, message),
		reportedAt: isKnown ? now : before.reportedAt,
		silentSince: computeSilentSince(before, message, now),
		rateLimit: load ? readRateLimit(load, now) : before.rateLimit,
	};
}

/** Takes in that an upstream has answered or failed an attempt. */
function recordRun(
	record: HostRecord,
	{outcome, latencyMs}: EndedMessage,
	context: HostContext,
): HostRecord {
	const error = outcome === 'failed' ? 1 : 0;
	const mean = record.latencyMs === 0 ? latencyMs : record.latencyMs;
	const after: HostRecord = {
		...record,
		unreachable: 0,
		errorShare: record.errorShare + sampleWeight * (error - record.errorShare),
		latencyMs: error ? mean : mean + sampleWeight * (latencyMs - mean),
		samples: record.samples + 1,
		ejections: record.samples > 10 * ejectionMinSamples ? 0 : record.ejections,
	};
	return shouldEject(after, context) ? eject(after, context) : after;
}

function handleEnd(
	before: HostRecord,
	message: EndedMessage,
	context: HostContext,
): HostRecord {
	const reported = recordReport(before, message, context.now);
	switch (message.outcome) {
		case 'full': {
			return recordFull(reported, message, context.now);
		}

		case 'refused': {
			return {...reported, unreachable: 0};
		}

		case 'unreachable': {
			return recordUnreachable(reported, context);
		}

		case 'answered': {
			return recordRun(clearRefusals(reported, message), message, context);
		}

		case 'failed': {
			return recordRun(reported, message, context);
		}
	}
}

/**
 * Advances what is known of a host by one message.
 *
 * A host whose attempts mostly fail, or whose answers take many times the mean
 * of its service, is ejected for a jittered time that doubles with each
 * ejection in a row; afterwards it starts slowly.
 *
 * @param record - the record before, undefined when there is none
 * @param message - what happened
 * @param context - see `HostContext`
 * @returns the record after
 * @example
 * stepHostRecord(undefined, {kind: 'sent'}, context).ownInFlight; // 1
 */
export function stepHostRecord(
	record: HostRecord | undefined,
	message: HostMessage,
	context: HostContext,
): HostRecord {
	const before = record ?? createHostRecord(context.now);
	switch (message.kind) {
		case 'sent': {
			const {silentSince = message.isRemote ? context.now : undefined} = before;
			return {
				...before,
				ownInFlight: before.ownInFlight + 1,
				sentAt: context.now,
				silentSince,
				rateLimit: advanceNextSend(before.rateLimit, context.now),
			};
		}

		case 'heard': {
			return before.silentSince === undefined
				? before
				: {...before, silentSince: context.now};
		}

		case 'ended': {
			return handleEnd(before, message, context);
		}
	}
}
