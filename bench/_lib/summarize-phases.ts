import type {ConfigPhase} from './measure-config-fleet.js';

/** All phases of one way at one number of nodes. */
export type WayResult = {
	readonly way: string;
	readonly nodes: number;
	readonly reality: string;
	readonly phases: readonly ConfigPhase[];
};

/** Summary of one way at one number of nodes. */
export type WaySummary = {
	readonly nodes: number;
	readonly convergenceMs: {
		readonly p50: number;
		readonly p99: number;
		readonly max: number;
	};
	/** Traffic of a node beyond that of a quiet fleet, for each change. */
	readonly bytesPerNodePerChange: number;
	readonly busiestNodeBytesPerSecond: number;
	readonly platformCallsPerSecond: number;
	/** Processor time beyond that of a quiet fleet, a node and change. */
	readonly cpuMsPerChange: number;
	readonly rssBytes: number;
	readonly phases: Readonly<
		Partial<Record<ConfigPhase['phase'], Omit<ConfigPhase, 'phase'>>>
	>;
};

/** The benchmark's last line. */
export type ConfigSummary = {
	readonly bench: 'config';
	readonly ways: Readonly<Record<string, readonly WaySummary[]>>;
	readonly chosen: string;
};

function summarizeWay({nodes, phases}: WayResult): WaySummary {
	const byPhase = Object.fromEntries(phases.map((item) => [item.phase, item]));
	const {quiet, average, burst} = byPhase;
	if (!quiet || !average || !burst) {
		throw new Error('a phase is missing');
	}

	const {p50, p99, max} = burst.convergenceMs;
	const gain = (field: 'meanNodeBytesPerSecond' | 'cpuMsPerSecond') =>
		Math.max(0, burst[field] - quiet[field]) * (burst.seconds / burst.changes);
	return {
		nodes,
		convergenceMs: {p50, p99, max},
		bytesPerNodePerChange: gain('meanNodeBytesPerSecond'),
		busiestNodeBytesPerSecond: average.busiestNodeBytesPerSecond,
		platformCallsPerSecond: average.platformCallsPerSecond,
		cpuMsPerChange: gain('cpuMsPerSecond'),
		rssBytes: burst.meanRssBytes,
		phases: byPhase,
	};
}

/**
 * Summarizes a run for its last line: convergence, bytes and processor time a
 * change under 20 changes a second; busiest node and platform at the average
 * rate.
 *
 * @param results - every way at every number of nodes
 * @param chosen - the way that the product takes
 * @returns the summary
 * @throws when a result lacks a phase
 * @example
 * summarizePhases(results, 'tree').ways.tree?.[0]?.nodes;
 */
export function summarizePhases(
	results: readonly WayResult[],
	chosen: string,
): ConfigSummary {
	const ways: Record<string, WaySummary[]> = {};
	for (const result of results) {
		ways[result.way] = [...(ways[result.way] ?? []), summarizeWay(result)];
	}

	return {bench: 'config', ways, chosen};
}
