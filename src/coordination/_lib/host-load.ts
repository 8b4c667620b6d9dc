/**
 * Load of hosts, as known to a caller's node.
 */
import {loadExpiryMs, slowStartMs} from '../../protocol/constants.js';
import type {Candidate} from '../../protocol/member.js';
import type {HostRecord} from '../step-host-record.js';

/** Records of hosts, by host name. */
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
		if (record && now - record.reportedAt < loadExpiryMs) {
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
 * Computes a host's load as a share of its slots: own requests in flight plus
 * the reported load. The weight of a report decreases with its age. A report
 * below the mean of the other hosts is raised to it, so that a host that
 * underreports its load does not attract extra requests.
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

	const reportWeight = Math.max(
		0,
		1 - (now - record.reportedAt) / loadExpiryMs,
	);
	const meanOfOthers = computeMeanOfOthers(pool, record.reportedShare);
	const reported = Math.max(record.reportedShare, meanOfOthers);
	const estimated = reportWeight * reported + (1 - reportWeight) * pool.mean;
	return record.ownInFlight / candidate.slots + estimated;
}

/** Smallest share of its normal requests that a host gets during slow start. */
const minSlowStartFactor = 0.2;

/** Computes the share of its normal requests that a host gets during slow start. */
export function computeSlowStartFactor(
	record: HostRecord | undefined,
	now: number,
): number {
	const age = now - (record?.inUseSince ?? now);
	return Math.min(1, Math.max(minSlowStartFactor, age / slowStartMs));
}
