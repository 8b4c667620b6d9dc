import type {CountTable} from '../../coordination/rollouts/compute-evidence.js';
import {msPerSecond} from '../../protocol/constants.js';
import type {VersionCount} from '../../protocol/rollout.js';

/** Counts of a node, as reported. */
export type NodeCounts = {
	readonly from: string;
	readonly incarnation: number;
	readonly counts: readonly VersionCount[];
};

/** Counts of all nodes, as their leader knows them. */
export type ReportedCounts = {
	record(report: NodeCounts): void;
	/** Returns the counts as they are now. */
	read(): CountTable;
	/** Returns the number of nodes that have reported of late. */
	countReporting(): number;
	clear(): void;
};

/** Age of a report beyond which its node does not count as reporting, ms; three report intervals. */
const maxReportAgeMs = 1.5 * msPerSecond;

/**
 * Creates the table of the counts that nodes report. Counts are cumulative for each
 * process of a node, so that a lost or repeated report does no harm.
 *
 * @param now - returns monotonic ms
 * @returns the table
 */
export function createCountTable(now: () => number): ReportedCounts {
	const table = new Map<string, readonly VersionCount[]>();
	const reportedAt = new Map<string, number>();
	return {
		record({from, incarnation, counts}) {
			table.set(`${from} ${incarnation}`, counts);
			reportedAt.set(from, now());
		},
		read: () => new Map(table),
		countReporting() {
			const times = [...reportedAt.values()];
			return times.filter((at) => now() - at <= maxReportAgeMs).length;
		},
		clear() {
			table.clear();
			reportedAt.clear();
		},
	};
}
