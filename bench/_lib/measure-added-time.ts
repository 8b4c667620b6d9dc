import {formatComparison} from './format-comparison.js';
import type {LoadPlanInput, StreamReport} from './load-plan.js';
import {benchDepthHeader, benchModeHeader} from './chain-headers.js';
import {readProcessUsage} from './read-process-usage.js';
import {runLoad} from './run-load.js';
import {startChain, type Chain} from './start-chain.js';

/** Added time at one depth and one share of busy slots. */
export type AddedTime = {
	readonly depth: number;
	/** Share of the slots that the load keeps busy; 0 for one at a time. */
	readonly share: number;
	readonly p50: number;
	readonly p99: number;
	/** Added p99 of each round, ms. */
	readonly p99Rounds: readonly number[];
	readonly cpuMsPerRequest: {
		readonly callerNode: number;
		readonly gateNode: number;
	};
	readonly reports: readonly StreamReport[];
};

/** Options of `measureAddedTime`. */
export type AddedTimeOptions = {
	readonly depths: readonly number[];
	readonly shares: readonly number[];
	readonly rounds: number;
	readonly phaseMs: number;
	readonly serviceMs: number;
	readonly hostsPerService: number;
	readonly seed: number;
};

const slotsPerHost = 6;

async function readCpuMs(chain: Chain): Promise<{edge: number; gate: number}> {
	const gates = chain.gates.slice(0, chain.firstUrls.length);
	const usages = await Promise.all(
		gates.map(async ({child}) => readProcessUsage(child.pid!)),
	);
	const edge = await readProcessUsage(chain.edge.child.pid!);
	return {
		edge: edge.cpuMs,
		gate: usages.reduce((sum, {cpuMs}) => sum + cpuMs, 0),
	};
}

function createPlan(
	chain: Chain,
	depth: number,
	share: number,
	options: AddedTimeOptions,
): LoadPlanInput {
	const slots = slotsPerHost * chain.firstUrls.length;
	const concurrency = Math.max(1, Math.round(share * slots));
	const headers = {[benchDepthHeader]: String(depth)};
	const direct = {
		label: 'direct',
		urls: chain.firstUrls,
		headers: {...headers, [benchModeHeader]: 'direct'},
		concurrency,
	};
	const mesh = {
		label: 'mesh',
		urls: [`${chain.edgeUrl}/bench/s1`],
		headers: {...headers, [benchModeHeader]: 'mesh'},
		concurrency,
	};
	const {seed, rounds, phaseMs} = options;
	return {seed, rounds, phaseMs, phases: [[direct], [mesh]]};
}

async function measureOne(
	chain: Chain,
	depth: number,
	share: number,
	options: AddedTimeOptions,
): Promise<AddedTime> {
	const plan = createPlan(chain, depth, share, options);
	await runLoad({...plan, warmupRounds: 3, rounds: 1});
	const before = await readCpuMs(chain);
	const reports = await runLoad({...plan, warmupRounds: 0});
	const after = await readCpuMs(chain);
	const direct = reports.get('direct')!;
	const mesh = reports.get('mesh')!;
	console.log(formatComparison(`depth ${depth} share ${share}`, reports));
	return {
		depth,
		share,
		p50: mesh.p50Ms - direct.p50Ms,
		p99: mesh.p99Ms - direct.p99Ms,
		p99Rounds: mesh.rounds.map(
			({p99Ms}, index) => p99Ms - direct.rounds[index]!.p99Ms,
		),
		cpuMsPerRequest: {
			callerNode: (after.edge - before.edge) / mesh.sent,
			gateNode: (after.gate - before.gate) / mesh.sent,
		},
		reports: [direct, mesh],
	};
}

/**
 * Measures the time that the system adds to calls against direct calls to the
 * same upstreams, in alternate phases of the same run, with real processes.
 *
 * @param options - see `AddedTimeOptions`
 * @returns one result for each depth and share
 * @example
 * await measureAddedTime({depths: [1], shares: [0], ...rest});
 */
export async function measureAddedTime(
	options: AddedTimeOptions,
): Promise<readonly AddedTime[]> {
	const chain = await startChain({
		depth: Math.max(...options.depths),
		hostsPerService: options.hostsPerService,
		serviceMs: options.serviceMs,
		deadlineMs: 2000,
	});
	const results: AddedTime[] = [];
	try {
		for (const depth of options.depths) {
			for (const share of options.shares) {
				results.push(await measureOne(chain, depth, share, options));
			}
		}
	} finally {
		await chain.stop();
	}

	return results;
}
