import {
	exploreAfterMs,
	exploreRatio,
	minInUseRatio,
	spilloverThreshold as defaultSpillShare,
} from '../protocol/constants.js';
import type {Candidate} from '../protocol/member.js';
import {
	computeLoadShare,
	noReports,
	type HostRecords,
} from './_lib/host-load.js';
import {
	findCheapestCandidate,
	type CandidateCost,
	type CostOptions,
} from './_lib/host-costs.js';
import {isKnownFull} from './is-known-full.js';
import {isUnreachable} from './is-unreachable.js';
import type {HostRecord} from './step-host-record.js';

/** Options of `pickHost`. */
export type PickOptions = CostOptions & {
	/** Preferred data centre. */
	readonly dataCentre: string;
	/** Hosts already tried for this request; none when absent. */
	readonly exclude?: ReadonlySet<string>;
	/**
	 * Load share of the own data centre above which requests spill over to other
	 * data centres; `spilloverThreshold` when absent.
	 */
	readonly spillShare?: number;
	/** Class of requests that hosts admit or refuse alike, if known. */
	readonly admissionClass?: string | undefined;
};

function isEjected(record: HostRecord | undefined, now: number): boolean {
	return record !== undefined && record.ejectedUntil > now;
}

/**
 * Keeps the hosts that are not ejected. If too few would be left, the cause is
 * probably not the hosts themselves, and all of them are kept.
 */
function selectHealthy(
	candidates: readonly Candidate[],
	records: HostRecords,
	now: number,
): readonly Candidate[] {
	const healthy = candidates.filter(
		({host}) => !isEjected(records.get(host), now),
	);
	return healthy.length < candidates.length * minInUseRatio
		? candidates
		: healthy;
}

/** Keeps the reachable hosts; all of them when none is reachable. */
function selectReachable(
	candidates: readonly Candidate[],
	records: HostRecords,
	now: number,
): readonly Candidate[] {
	const reachable = candidates.filter(
		({host}) => !isUnreachable(records.get(host), now),
	);
	return reachable.length === 0 ? candidates : reachable;
}

/** Keeps the hosts that are not known to be full for such requests; all of them when every host is. */
function selectNotFull(
	candidates: readonly Candidate[],
	records: HostRecords,
	{now, admissionClass}: PickOptions,
): readonly Candidate[] {
	const available = candidates.filter(
		({host}) => !isKnownFull(records.get(host), admissionClass, now),
	);
	return available.length === 0 ? candidates : available;
}

/** Added cost of an answer from another data centre, as a fraction of a request's value, since that traffic is charged for. */
const remoteCost = 0.15;

function isLocalFull(
	local: readonly Candidate[],
	records: HostRecords,
	limit: number,
	now: number,
): boolean {
	let sum = 0;
	for (const candidate of local) {
		sum += computeLoadShare(
			candidate,
			records.get(candidate.host),
			noReports,
			now,
		);
	}

	return sum >= limit * local.length;
}

/**
 * Finds a local host that has not been sent a request for some time. Load
 * pattern: an upstream that has just joined, or was slow and has recovered.
 */
function findHostToExplore(
	local: readonly Candidate[],
	records: HostRecords,
	random: () => number,
	now: number,
): Candidate | undefined {
	if (random() >= exploreRatio) {
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

/** Tells whether a host of another data centre is better than the best local one. */
function isRemoteBetter(
	localBest: CandidateCost,
	remoteBest: CandidateCost,
	objectiveMs: number | undefined,
	isFull: () => boolean,
): boolean {
	return objectiveMs === undefined
		? isFull() && remoteBest.cost < localBest.cost
		: remoteBest.cost + remoteCost < localBest.cost;
}

/**
 * Picks the host for a request: among a few hosts sampled at random, the one
 * where the request is least likely to be late; in the own data centre unless a
 * host of another one is clearly better.
 *
 * Ejected hosts are excluded while enough others remain. The weight of a reported
 * load decreases with its age; a host without a fresh report is assumed to have
 * average load, not to be idle. Load pattern: uneven load. Traffic between data
 * centres is expensive, and a queue at a local host costs more only when it
 * would make the request late.
 *
 * @param candidates - hosts with a ready upstream of the service
 * @param records - records of hosts, by host name
 * @param random - source of random numbers in [0, 1)
 * @param options - see `PickOptions`
 * @returns the host, or undefined when there is none
 * @example
 * pickHost(candidates, new Map(), Math.random, {dataCentre: 'abdali', now: 0});
 */
export function pickHost(
	candidates: readonly Candidate[],
	records: HostRecords,
	random: () => number,
	options: PickOptions,
): Candidate | undefined {
	const {dataCentre, now, exclude, objectiveMs} = options;
	const {spillShare = defaultSpillShare} = options;
	const untried = exclude?.size
		? candidates.filter(({host}) => !exclude.has(host))
		: candidates;
	const usable = selectNotFull(
		selectHealthy(selectReachable(untried, records, now), records, now),
		records,
		options,
	);
	if (usable.length <= 1) {
		return usable[0];
	}

	const local = usable.filter(
		(candidate) => candidate.dataCentre === dataCentre,
	);
	const toExplore = findHostToExplore(local, records, random, now);
	if (toExplore) {
		return toExplore;
	}

	const localBest = findCheapestCandidate(local, records, random, options);
	const remote = usable.filter(
		(candidate) => candidate.dataCentre !== dataCentre,
	);
	const remoteBest = findCheapestCandidate(remote, records, random, options);
	const isFull = (): boolean => isLocalFull(local, records, spillShare, now);
	return localBest &&
		remoteBest &&
		isRemoteBetter(localBest, remoteBest, objectiveMs, isFull)
		? remoteBest.candidate
		: (localBest ?? remoteBest)?.candidate;
}
