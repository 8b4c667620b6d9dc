import {
	ejectionBaseMs,
	ejectionCapMs,
	ejectionErrorRatio,
	ejectionMinSamples,
	msPerSecond,
	unreachableBaseMs,
	unreachableCapMs,
} from '../protocol/constants.js';
import type {GateLoad} from '../protocol/attempt.js';
import {computeUsableRate} from './compute-usable-rate.js';

/** Record of a host at a caller's node, based on its own requests. */
export type HostRecord = {
	/** Requests that this node has in flight on the host. */
	readonly ownInFlight: number;
	/** Last reported load by other nodes, as a share of the slots of the host. */
	readonly reportedShare: number;
	/** Mean service time of its upstream, ms; 0 when not known. */
	readonly serviceMs?: number;
	/** Expected service time at its upstream by route, ms. */
	readonly routeMs?: ReadonlyMap<string, number>;
	/** Rate limit of its upstream, if the last report of its gate included one. */
	readonly rateLimit?: HostRateLimit | undefined;
	/** Time of the last load report, monotonic ms; negative infinity when never. */
	readonly reportedAt: number;
	/** Share of recent attempts that failed, 0 to 1. */
	readonly errorShare: number;
	/** Mean time of recent answers, ms; 0 before the first. */
	readonly latencyMs: number;
	/** Attempts that have ended since the last ejection. */
	readonly samples: number;
	/** Since when the host has been in use, monotonic ms; slow start counts from here. */
	readonly inUseSince: number;
	/** Until when the host is not picked, monotonic ms. */
	readonly ejectedUntil: number;
	/** Consecutive ejections. */
	readonly ejections: number;
	/** Until when the host is considered full, by admission class, monotonic ms. */
	readonly fullUntil?: ReadonlyMap<string, number>;
	/** Consecutive refusals for lack of capacity, by admission class. */
	readonly refusals?: ReadonlyMap<string, number>;
	/** When an attempt was last sent, monotonic ms. */
	readonly sentAt?: number;
	/** Consecutive attempts that could not be sent. */
	readonly unreachable?: number;
	/** Since when nothing has been received while attempts were in flight, monotonic ms. */
	readonly silentSince?: number | undefined;
};

/** Rate limit of a host's upstream, as known to a caller's node. */
export type HostRateLimit = {
	readonly perSecond: number;
	/** When the next request may be sent under the limit, monotonic ms. */
	readonly nextSendAt: number;
};

/** Event of an attempt on a host. */
export type HostMessage =
	| {
			readonly kind: 'sent';
			/** Whether the host is not the own one; only such a host can become unreachable. */
			readonly isRemote?: boolean;
	  }
	/** A keepalive of the host was received. */
	| {readonly kind: 'keepalive'}
	| {
			readonly kind: 'ended';
			/** `refused` is no evidence about the health of the host. */
			readonly outcome:
				| 'answered'
				| 'failed'
				| 'refused'
				/** Ended by this node or its client; no evidence about the host. */
				| 'cancelled'
				/** The host has no free capacity for requests of this admission class. */
				| 'full'
				| 'unreachable';
			readonly latencyMs: number;
			/** Whether the outcome was reported by the host itself; true when absent. */
			readonly isFromHost?: boolean;
			/** Name of the request's route, if it has one. */
			readonly route?: string | undefined;
			/** Class of requests that hosts admit or refuse alike; the route when absent. */
			readonly admissionClass?: string | undefined;
			/** Delay after which the host may have free capacity, as reported by it, ms. */
			readonly retryAfterMs?: number | undefined;
			readonly load: GateLoad | undefined;
	  };

type EndedMessage = HostMessage & {readonly kind: 'ended'};

/** Input of a step besides record and message. */
export type HostContext = {
	/** Monotonic ms. */
	readonly now: number;
	/** Random number in [0, 1). */
	readonly random: number;
	/** Mean latency of answers over the hosts of the service, ms; 0 if unknown. */
	readonly serviceLatencyMs: number;
};

/** Shortest and longest time for which a full host is not tried again, ms; from one hop to about four requests. */
const minFullMs = 30;
const maxFullMs = 400;

/** Share of the retry delay given by the host after which it is tried again: other requests may find free capacity earlier. */
const retryAfterRatio = 0.5;

/** Maximum count of consecutive refusals; more would not lengthen the backoff. */
const maxRefusals = 4;

const sampleWeight = 0.1;
const slowFactor = 5;
const maxShare = 8;

/** Creates the record of a newly discovered host. */
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
	return route === undefined ||
		load?.routeMs === undefined ||
		times?.get(route) === load.routeMs
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
 * Records that a host is full for an admission class, for twice as long with each
 * consecutive refusal. Load pattern: lasting overload, where an attempt at a host
 * that refuses it costs two nodes as much as a request that is served.
 */
function recordFull(
	record: HostRecord,
	message: EndedMessage,
	now: number,
): HostRecord {
	const admissionClass = readAdmissionClass(message);
	const {retryAfterMs = 0, load} = message;
	// Under a rate limit, capacity is free again after the delay given by the host.
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

/** Clears the refusals of an admission class after the host has accepted an attempt of it. */
function clearRefusals(record: HostRecord, message: EndedMessage): HostRecord {
	const admissionClass = readAdmissionClass(message);
	if (!record.refusals?.has(admissionClass)) {
		return record;
	}

	const refusals = new Map(record.refusals);
	refusals.delete(admissionClass);
	return {...record, refusals};
}

/** Computes since when nothing has been received, after the end of an attempt. */
function computeSilentSince(
	{ownInFlight, silentSince}: HostRecord,
	{isFromHost = true}: EndedMessage,
	now: number,
): number | undefined {
	if (ownInFlight <= 1 || silentSince === undefined) {
		return undefined;
	}

	return isFromHost ? now : silentSince;
}

/** Computes the load of the host by other nodes, as a share of its slots. */
function computeReportedShare(load: GateLoad, ownInFlight: number): number {
	const others = Math.max(0, load.inFlight + load.queued - ownInFlight);
	return Math.min(maxShare, others / load.slots);
}

/**
 * Excludes a host that could not be connected to, with exponential backoff. Load
 * pattern: a network partition, where each attempt costs a connect timeout.
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
		(record.errorShare > ejectionErrorRatio ||
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

/** Advances the time of the next request under a rate limit after one was sent. */
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

/** Records the report returned with the end of an attempt, whatever its outcome. */
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

/** Records that an upstream has answered or failed an attempt. */
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

		case 'cancelled': {
			return reported;
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
 * Advances the record of a host by one message.
 *
 * A host whose attempts mostly fail, or whose latency is many times the mean of
 * its service, is ejected for a jittered time that doubles with each consecutive
 * ejection; afterwards it returns with slow start.
 *
 * @param record - the record before, undefined when there is none
 * @param message - the event
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

		case 'keepalive': {
			return before.silentSince === undefined
				? before
				: {...before, silentSince: context.now};
		}

		case 'ended': {
			return handleEnd(before, message, context);
		}
	}
}
