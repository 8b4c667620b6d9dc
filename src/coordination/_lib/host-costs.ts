/**
 * Expected cost of a request at each candidate host.
 */
import {
	hostSampleSize,
	msPerSecond,
	referenceLinkMbps,
	defaultObjectiveRatio,
} from '../../protocol/constants.js';
import type {Candidate} from '../../protocol/member.js';
import {computeHostRateLimitWait} from '../compute-host-rate-limit-wait.js';
import {computeHostCost, type HostEstimate} from '../compute-host-cost.js';
import {computeTransferTime} from '../compute-transfer-time.js';
import type {HostRecord} from '../step-host-record.js';
import {
	computePoolLoad,
	computeLoadShare,
	computeSlowStartFactor,
	type HostRecords,
} from './host-load.js';

/** Properties of a request that its cost depends on. */
export type CostOptions = {
	/** Monotonic ms. */
	readonly now: number;
	/** Latency objective: time within which an answer has its full value, ms, if known. */
	readonly objectiveMs?: number | undefined;
	/** Name of the request's route, if it has one. */
	readonly route?: string | undefined;
	/** Transfer of the body to other hosts, if it is long. */
	readonly transfer?: BodyTransfer | undefined;
	/** Name of the own host, where a request passes no second node; all hosts count as remote when absent. */
	readonly ownHost?: string | undefined;
};

/** Transfer of a long body from the own host. */
export type BodyTransfer = {
	readonly bytes: number;
	/** Name of the own host, which needs no transfer. */
	readonly host: string;
	/** Rate of the own host's link, Mbit/s. */
	readonly linkMbps: number;
};

/** Upper bound on the error share, which keeps the cost finite. */
const maxErrorShare = 0.9;

/** Added cost of a host other than the own one, whose node spends processor time on the request too. */
const hopCost = 0.06;

/** A candidate host with the expected cost of a request there. */
export type CandidateCost = {
	readonly candidate: Candidate;
	readonly cost: number;
};

/** Expected time of a host without known times, as a ratio of the mean of the other hosts. */
const unknownHostTimeRatio = 0.7;

/** Added cost of a host that has just started; decreases during slow start. */
const slowStartCost = 0.05;

/** Expected times at a host, ms. */
type HostTimes = {
	/** Of the request itself. */
	readonly requestMs: number;
	/** Of any request queued ahead of it. */
	readonly serviceMs: number;
};

function readTimes(
	record: HostRecord | undefined,
	route: string | undefined,
): HostTimes | undefined {
	const serviceMs = record?.serviceMs ?? 0;
	const known = route === undefined ? undefined : record?.routeMs?.get(route);
	const requestMs = known ?? serviceMs;
	return requestMs > 0
		? {requestMs, serviceMs: serviceMs || requestMs}
		: undefined;
}

/** Computes the mean times of the hosts whose times are known. */
function computeMeanTimes(
	pool: readonly Candidate[],
	records: HostRecords,
	route: string | undefined,
): HostTimes | undefined {
	let known = 0;
	let requestMs = 0;
	let serviceMs = 0;
	for (const {host} of pool) {
		const times = readTimes(records.get(host), route);
		if (times) {
			known++;
			requestMs += times.requestMs;
			serviceMs += times.serviceMs;
		}
	}

	return known === 0
		? undefined
		: {requestMs: requestMs / known, serviceMs: serviceMs / known};
}

/** Computes the times assumed for a host without known times: slightly below the mean, so that the host is tried. */
function computeExpectedTimes(
	pool: readonly Candidate[],
	records: HostRecords,
	route: string | undefined,
): HostTimes | undefined {
	const mean = computeMeanTimes(pool, records, route);
	return mean && {...mean, requestMs: mean.requestMs * unknownHostTimeRatio};
}

/** Computes the cost of a host for a request with a known objective. */
function computeCost(
	times: HostTimes | undefined,
	{
		transferMs,
		...estimate
	}: Omit<HostEstimate, keyof HostTimes> & {readonly transferMs: number},
): number {
	const defaultMs = estimate.objectiveMs * defaultObjectiveRatio;
	const {requestMs, serviceMs} = times ?? {
		requestMs: defaultMs,
		serviceMs: defaultMs,
	};
	return computeHostCost({
		...estimate,
		requestMs: requestMs + transferMs,
		serviceMs,
	});
}

/** Computes the transfer time of a long body to a host, ms; 0 for the own host. */
function computeTransferMs(
	{host, linkMbps = referenceLinkMbps}: Candidate,
	transfer: BodyTransfer | undefined,
): number {
	return !transfer || host === transfer.host
		? 0
		: computeTransferTime(
				transfer.bytes,
				Math.min(linkMbps, transfer.linkMbps),
			);
}

/** Samples up to `hostSampleSize` hosts of the pool at random and returns the one of lowest cost. */
export function findCheapestCandidate(
	pool: readonly Candidate[],
	records: HostRecords,
	random: () => number,
	{now, route, objectiveMs, transfer, ownHost}: CostOptions,
): CandidateCost | undefined {
	const poolLoad = computePoolLoad(pool, records, now);
	const count = Math.min(hostSampleSize, pool.length);
	const start = Math.floor(random() * pool.length);
	const stride = Math.max(1, Math.floor(pool.length / count));
	let expectedTimes: HostTimes | undefined;
	let best: CandidateCost | undefined;
	for (let index = 0; index < count; index++) {
		const candidate = pool[(start + index * stride) % pool.length]!;
		const record = records.get(candidate.host);
		const load =
			computeLoadShare(candidate, record, poolLoad, now) + 1 / candidate.slots;
		const rateLimitWaitMs = computeHostRateLimitWait(record, now);
		const errorShare = Math.min(maxErrorShare, record?.errorShare ?? 0);
		const cost =
			objectiveMs === undefined
				? load / computeSlowStartFactor(record, now) / (1 - errorShare) +
					rateLimitWaitMs / msPerSecond
				: computeCost(
						readTimes(record, route) ??
							(expectedTimes ??= computeExpectedTimes(pool, records, route)),
						{
							load,
							rateLimitWaitMs,
							transferMs: computeTransferMs(candidate, transfer),
							objectiveMs,
						},
					) +
					slowStartCost * (1 / computeSlowStartFactor(record, now) - 1) +
					errorShare +
					(candidate.host === ownHost ? 0 : hopCost);
		if (!best || cost < best.cost) {
			best = {candidate, cost};
		}
	}

	return best;
}
