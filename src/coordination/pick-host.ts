import {
	loadTrustMs,
	minInUseShare,
	slowStartMs,
	spillShare as defaultSpillShare,
} from '../protocol/constants.js';
import type {Candidate} from '../protocol/member.js';
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
};

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

/** Mean of the fresh reported loads of a pool. */
type PoolShare = {readonly mean: number; readonly reports: number};

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

/** Share of its normal requests that a host gets while it starts slowly. */
function computeWarmth(record: HostRecord | undefined, now: number): number {
	const age = now - (record?.warmSince ?? now);
	return Math.min(1, Math.max(0.1, age / slowStartMs));
}

function chooseOfTwo(
	pool: readonly Candidate[],
	records: Records,
	random: () => number,
	now: number,
): Candidate {
	const poolShare = computePoolShare(pool, records, now);
	const index = Math.floor(random() * pool.length);
	const step = 1 + Math.floor(random() * (pool.length - 1));
	const first = pool[index]!;
	const second = pool[(index + step) % pool.length]!;
	const [firstCost, secondCost] = [first, second].map((candidate) => {
		const record = records.get(candidate.host);
		const share = computeShare(candidate, record, poolShare, now);
		return (share + 1 / candidate.slots) / computeWarmth(record, now);
	});
	return secondCost! < firstCost! ? second : first;
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
 * Picks the host for a request: the less loaded of two chosen at random
 * (Mitzenmacher, 2001), in the own data centre unless that is near full.
 *
 * Ejected hosts are left out while enough others remain. A reported load counts
 * less with age; a host without a fresh one counts as average, not as idle.
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
	const {dataCentre, now, exclude, spillShare = defaultSpillShare} = options;
	const untried = exclude?.size
		? candidates.filter(({host}) => !exclude.has(host))
		: candidates;
	const usable = selectHealthy(untried, records, now);
	if (usable.length <= 1) {
		return usable[0];
	}

	const local = usable.filter(
		(candidate) => candidate.dataCentre === dataCentre,
	);
	const pool =
		local.length > 0 && !isNearFull(local, records, spillShare, now)
			? local
			: usable;
	return pool.length === 1 ? pool[0] : chooseOfTwo(pool, records, random, now);
}
