import {
	loadTrustMs,
	comparedHosts,
	exploreAfterMs,
	exploreShare,
	minInUseShare,
	slowStartMs,
	spillShare as defaultSpillShare,
} from '../protocol/constants.js';
import type {Candidate} from '../protocol/member.js';
import {computeOfferCost} from './compute-offer-cost.js';
import type {HostRecord} from './step-host-record.js';

/** Options of `pickHost`. */
export type PickOptions = {
	/** Data centre that is preferred. */
	readonly dataCentre: string;
	/** Monotonic ms. */
	readonly now: number;
	/** Hosts already tried for this request; none when absent. */
	readonly exclude?: ReadonlySet<string>;
	/**
	 * Load share of the own data centre above which others are used too;
	 * `spillShare` of the constants when absent.
	 */
	readonly spillShare?: number;
	/** Time within which an answer has its full value, ms, if that is known. */
	readonly objectiveMs?: number | undefined;
	/** Name of the request's route, if it has one. */
	readonly route?: string | undefined;
	/** Names requests that hosts admit alike, if hosts say so. */
	readonly demand?: string | undefined;
};

/** Highest share of failures that is believed, so that a cost stays finite. */
const maxErrorShare = 0.9;

type Records = ReadonlyMap<string, HostRecord>;

function isEjected(record: HostRecord | undefined, now: number): boolean {
	return record !== undefined && record.ejectedUntil > now;
}

/**
 * Keeps the hosts that are not ejected, unless too few were left: then the
 * cause is hardly the hosts, and all are used.
 */
function selectHealthy(
	candidates: readonly Candidate[],
	records: Records,
	now: number,
): readonly Candidate[] {
	const healthy = candidates.filter(
		({host}) => !isEjected(records.get(host), now),
	);
	return healthy.length < candidates.length * minInUseShare
		? candidates
		: healthy;
}

/** Keeps the hosts that have room for such requests, if there are any. */
function selectRoomy(
	candidates: readonly Candidate[],
	records: Records,
	{now, demand = ''}: PickOptions,
): readonly Candidate[] {
	const roomy = candidates.filter(
		({host}) => (records.get(host)?.fullUntil?.get(demand) ?? 0) <= now,
	);
	return roomy.length === 0 ? candidates : roomy;
}

/** Mean of the fresh reported loads of a pool. */
type PoolShare = {
	readonly mean: number;
	readonly reports: number;
};

const noReports: PoolShare = {mean: 0, reports: 0};

function computePoolShare(
	candidates: readonly Candidate[],
	records: Records,
	now: number,
): PoolShare {
	let sum = 0;
	let reports = 0;
	for (const {host} of candidates) {
		const record = records.get(host);
		if (record && now - record.reportedAt < loadTrustMs) {
			sum += record.reportedShare;
			reports++;
		}
	}

	return reports === 0 ? noReports : {mean: sum / reports, reports};
}

function computeMeanOfOthers(
	{mean, reports}: PoolShare,
	reportedShare: number,
): number {
	return reports > 1 ? (mean * reports - reportedShare) / (reports - 1) : mean;
}

/**
 * Computes a host's load as a share of its slots: own requests in flight, and
 * the reported load, which counts less the older it is and never less than the
 * average of the others, so that a host that reports too little attracts
 * nothing.
 */
function computeShare(
	candidate: Candidate,
	record: HostRecord | undefined,
	pool: PoolShare,
	now: number,
): number {
	if (!record) {
		return pool.mean;
	}

	const trust = Math.max(0, 1 - (now - record.reportedAt) / loadTrustMs);
	const others = computeMeanOfOthers(pool, record.reportedShare);
	const reported = Math.max(record.reportedShare, others);
	const believed = trust * reported + (1 - trust) * pool.mean;
	return record.ownInFlight / candidate.slots + believed;
}

/** Least share of its normal requests that a host gets. */
const minWarmth = 0.2;

/** Share of its normal requests that a host gets while it starts slowly. */
function computeWarmth(record: HostRecord | undefined, now: number): number {
	const age = now - (record?.warmSince ?? now);
	return Math.min(1, Math.max(minWarmth, age / slowStartMs));
}

/** A host with what a request there is expected to cost. */
type Offer = {readonly candidate: Candidate; readonly cost: number};

/** Part of the others' mean time that is expected of a host of unknown times. */
const unknownPart = 0.7;

/** Part of its objective that a request takes while nothing is known. */
const usualObjectivePart = 0.35;

/** Cost of an answer from another data centre, in parts of a request's value: its bytes are priced. */
const farCost = 0.15;

/** Cost of a host that has just started, which falls while it warms up. */
const coldCost = 0.05;

/** Expected times at a host, ms. */
type HostTimes = {
	/** Of the request itself. */
	readonly ownMs: number;
	/** Of any request that it waits for. */
	readonly serviceMs: number;
};

function readTimes(
	record: HostRecord | undefined,
	route: string | undefined,
): HostTimes | undefined {
	const serviceMs = record?.serviceMs ?? 0;
	const known = route === undefined ? undefined : record?.routeMs?.get(route);
	const ownMs = known ?? serviceMs;
	return ownMs > 0 ? {ownMs, serviceMs: serviceMs || ownMs} : undefined;
}

/** Means of the times of hosts that are known, for those that are not. */
function computeMeanTimes(
	pool: readonly Candidate[],
	records: Records,
	route: string | undefined,
): HostTimes | undefined {
	const known = pool
		.map(({host}) => readTimes(records.get(host), route))
		.filter((times) => times !== undefined);
	const mean = (read: (times: HostTimes) => number): number =>
		known.reduce((sum, times) => sum + read(times), 0) / known.length;
	return known.length === 0
		? undefined
		: {
				ownMs: mean(({ownMs}) => ownMs),
				serviceMs: mean(({serviceMs}) => serviceMs),
			};
}

/** Takes a host of unknown times for a little better than the others, so that it is tried. */
function scaleTimes({ownMs, serviceMs}: HostTimes): HostTimes {
	return {ownMs: ownMs * unknownPart, serviceMs};
}

/** Computes the cost of a host for a request whose objective is known. */
function computeCost(
	load: number,
	times: HostTimes | undefined,
	objectiveMs: number,
): number {
	const usualMs = objectiveMs * usualObjectivePart;
	const {ownMs, serviceMs} = times ?? {ownMs: usualMs, serviceMs: usualMs};
	return computeOfferCost({ownMs, serviceMs, load, objectiveMs});
}

/** Takes some of the pool at random, and the one with the best offer of them. */
function findBestOffer(
	pool: readonly Candidate[],
	records: Records,
	random: () => number,
	{now, route, objectiveMs}: PickOptions,
): Offer | undefined {
	const meanTimes = computeMeanTimes(pool, records, route);
	const poolShare = computePoolShare(pool, records, now);
	const count = Math.min(comparedHosts, pool.length);
	const start = Math.floor(random() * pool.length);
	const stride = Math.max(1, Math.floor(pool.length / count));
	let best: Offer | undefined;
	for (let index = 0; index < count; index++) {
		const candidate = pool[(start + index * stride) % pool.length]!;
		const record = records.get(candidate.host);
		const times =
			readTimes(record, route) ?? (meanTimes && scaleTimes(meanTimes));
		const load =
			computeShare(candidate, record, poolShare, now) + 1 / candidate.slots;
		const errorShare = Math.min(maxErrorShare, record?.errorShare ?? 0);
		const cost =
			objectiveMs === undefined
				? load / computeWarmth(record, now) / (1 - errorShare)
				: computeCost(load, times, objectiveMs) +
					coldCost * (1 / computeWarmth(record, now) - 1) +
					errorShare;
		if (!best || cost < best.cost) {
			best = {candidate, cost};
		}
	}

	return best;
}

function isNearFull(
	local: readonly Candidate[],
	records: Records,
	limit: number,
	now: number,
): boolean {
	let sum = 0;
	for (const candidate of local) {
		sum += computeShare(candidate, records.get(candidate.host), noReports, now);
	}

	return sum >= limit * local.length;
}

/**
 * Finds a near host that has had no request for some time. Answers the load of
 * an upstream that has just joined, or was slow once and is well again.
 */
function findNeglected(
	local: readonly Candidate[],
	records: Records,
	random: () => number,
	now: number,
): Candidate | undefined {
	if (random() >= exploreShare) {
		return undefined;
	}

	return local.find(({host}) => {
		const record = records.get(host);
		return (
			(record?.unreachable ?? 0) === 0 &&
			now - (record?.sentAt ?? Number.NEGATIVE_INFINITY) > exploreAfterMs
		);
	});
}

/** Tells whether a far host's offer is better than that of a near one. */
function isFarBetter(
	near: Offer,
	far: Offer,
	objectiveMs: number | undefined,
	isFull: () => boolean,
): boolean {
	return objectiveMs === undefined
		? isFull() && far.cost < near.cost
		: far.cost + farCost < near.cost;
}

/**
 * Picks the host for a request: the one of a few chosen at random where the
 * request is least likely to be late, in the own data centre unless another one
 * is clearly better.
 *
 * Ejected hosts are left out while enough others remain. A reported load counts
 * less with age; a host without a fresh one counts as average, not as idle.
 * Answers an uneven load: bytes between data centres are dear, and a queue at a
 * near host is dearer only when the request would be late.
 *
 * @param candidates - hosts with a ready upstream of the service
 * @param records - what is known of hosts, by host name
 * @param random - source of numbers from 0 up to 1
 * @param options - see `PickOptions`
 * @returns the host, or undefined when there is none
 * @example
 * pickHost(candidates, new Map(), Math.random, {dataCentre: 'abdali', now: 0});
 */
export function pickHost(
	candidates: readonly Candidate[],
	records: ReadonlyMap<string, HostRecord>,
	random: () => number,
	options: PickOptions,
): Candidate | undefined {
	const {dataCentre, now, exclude, objectiveMs} = options;
	const {spillShare = defaultSpillShare} = options;
	const untried = exclude?.size
		? candidates.filter(({host}) => !exclude.has(host))
		: candidates;
	const usable = selectRoomy(
		selectHealthy(untried, records, now),
		records,
		options,
	);
	if (usable.length <= 1) {
		return usable[0];
	}

	const local = usable.filter(
		(candidate) => candidate.dataCentre === dataCentre,
	);
	const neglected = findNeglected(local, records, random, now);
	if (neglected) {
		return neglected;
	}

	const near = findBestOffer(local, records, random, options);
	const remote = usable.filter(
		(candidate) => candidate.dataCentre !== dataCentre,
	);
	const far = findBestOffer(remote, records, random, options);
	const isFull = (): boolean => isNearFull(local, records, spillShare, now);
	return near && far && isFarBetter(near, far, objectiveMs, isFull)
		? far.candidate
		: (near ?? far)?.candidate;
}
