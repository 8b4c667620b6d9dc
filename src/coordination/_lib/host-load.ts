/**
 * Loads of hosts, as a caller's node knows them.
 */
import {loadTrustMs, slowStartMs} from '../../protocol/constants.js';
import type {Candidate} from '../../protocol/member.js';
import type {HostRecord} from '../step-host-record.js';

/** What is known of hosts, by host name. */
export type HostRecords = ReadonlyMap<string, HostRecord>;

/** Mean of the fresh reported loads of a pool. */
export type PoolLoad = {
	readonly mean: number;
	readonly reports: number;
};

export const noReports: PoolLoad = {mean: 0, reports: 0};

export function computePoolLoad(
	candidates: readonly Candidate[],
	records: HostRecords,
	now: number,
): PoolLoad {
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
	{mean, reports}: PoolLoad,
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
export function computeLoadShare(
	candidate: Candidate,
	record: HostRecord | undefined,
	pool: PoolLoad,
	now: number,
): number {
	if (!record) {
		return pool.mean;
	}

	const reportWeight = Math.max(0, 1 - (now - record.reportedAt) / loadTrustMs);
	const meanOfOthers = computeMeanOfOthers(pool, record.reportedShare);
	const reported = Math.max(record.reportedShare, meanOfOthers);
	const estimated = reportWeight * reported + (1 - reportWeight) * pool.mean;
	return record.ownInFlight / candidate.slots + estimated;
}

/** Least share of its normal requests that a host gets. */
const minSlowStartFactor = 0.2;

/** Share of its normal requests that a host gets while it starts slowly. */
export function computeSlowStartFactor(
	record: HostRecord | undefined,
	now: number,
): number {
	const age = now - (record?.inUseSince ?? now);
	return Math.min(1, Math.max(minSlowStartFactor, age / slowStartMs));
}
