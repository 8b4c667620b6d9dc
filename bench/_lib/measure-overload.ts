import {request} from 'undici';
import {z} from 'zod';
import {computePercentile} from './compute-percentile.js';
import {formatComparison} from './format-comparison.js';
import type {StreamReport} from './load-plan.js';
import {runLoad} from './run-load.js';
import {startChain, type Chain} from './start-chain.js';

/** What real processes did under three times the load that they can serve. */
export type Overload = {
	readonly inTime: number;
	readonly p99Ms: number;
	readonly wasted: number;
	readonly report: StreamReport;
};

/** Latency of a quiet team, alone and beside one at ten times its share. */
export type Isolation = {
	readonly quietP99Alone: number;
	readonly quietP99BesideNoisy: number;
	/** Reports of the quiet team, of each round in turn. */
	readonly alone: readonly StreamReport[];
	readonly beside: readonly StreamReport[];
	readonly noisy: readonly StreamReport[];
};

/** Options of `measureOverload`. */
export type OverloadOptions = {
	readonly rounds: number;
	readonly phaseMs: number;
	readonly seed: number;
};

const serviceMs = 40;
const deadlineMs = 800;
const hosts = 2;
const slots = 6;
const otherEdges = 3;
const msPerSecond = 1000;
const capacity = (hosts * slots * msPerSecond) / serviceMs;
const runsSchema = z.object({total: z.number()});

async function readRuns(chain: Chain): Promise<number> {
	let runs = 0;
	for (const url of chain.firstUrls) {
		const {body} = await request(`${url}/control/runs`);
		runs += runsSchema.parse(await body.json()).total;
	}

	return runs;
}

function createStream(chain: Chain, team: string, rate: number) {
	const urls = [`${chain.edgeUrl}/${team}/s1`];
	return {label: team, urls, rate, deadlineMs};
}

async function measureThreefold(
	chain: Chain,
	options: OverloadOptions,
): Promise<Overload> {
	const stream = createStream(chain, 'bench', 3 * capacity);
	const plan = {...options, phases: [[stream]]};
	await runLoad({...plan, rounds: 1});
	const before = await readRuns(chain);
	const reports = await runLoad({...plan, warmupRounds: 0});
	const runs = (await readRuns(chain)) - before;
	const report = reports.get('bench')!;
	console.log(formatComparison('overload 3x', reports));
	return {
		inTime: report.inTime / report.sent,
		p99Ms: report.p99Ms,
		wasted: Math.max(0, runs - report.inTime) / Math.max(1, runs),
		report,
	};
}

async function measureIsolation(
	chain: Chain,
	options: OverloadOptions,
): Promise<Isolation> {
	const quiet = createStream(chain, 'quiet', 0.3 * capacity);
	const noisy = {
		...createStream(chain, 'noisy', (10 * capacity) / 2),
		urls: chain.otherEdgeUrls.map((url) => `${url}/noisy/s1`),
	};
	const {seed, rounds, phaseMs} = options;
	const plan = {seed, rounds: 1, phaseMs: 2 * phaseMs};
	const alone: StreamReport[] = [];
	const beside: StreamReport[] = [];
	const noisyReports: StreamReport[] = [];
	for (let round = 0; round < rounds; round++) {
		const first = await runLoad({...plan, phases: [[quiet]]});
		const [second, other] = await Promise.all([
			runLoad({...plan, phases: [[quiet]]}),
			runLoad({...plan, phases: [[noisy]]}),
		]);
		alone.push(first.get('quiet')!);
		beside.push(second.get('quiet')!);
		noisyReports.push(other.get('noisy')!);
		console.log(formatComparison('isolation, alone', first));
		console.log(formatComparison('isolation, beside', second));
		console.log(formatComparison('isolation', other));
	}

	const median = (reports: readonly StreamReport[]) =>
		computePercentile(
			reports.map(({p99Ms}) => p99Ms),
			50,
		);
	return {
		quietP99Alone: median(alone),
		quietP99BesideNoisy: median(beside),
		alone,
		beside,
		noisy: noisyReports,
	};
}

/**
 * Measures overload and the isolation of teams with real processes: one
 * caller's node for each load, two hosts of six slots, 40 ms a call, 800 ms
 * deadline. The noisy team has nodes and a load generator of its own.
 *
 * @param options - see `OverloadOptions`
 * @returns figures of both
 * @example
 * await measureOverload({rounds: 5, phaseMs: 1000, seed: 1});
 */
export async function measureOverload(
	options: OverloadOptions,
): Promise<{readonly overload: Overload; readonly isolation: Isolation}> {
	const chain = await startChain({
		depth: 1,
		hostsPerService: hosts,
		serviceMs,
		deadlineMs,
		otherEdges,
	});
	try {
		const overload = await measureThreefold(chain, options);
		const isolation = await measureIsolation(chain, options);
		return {overload, isolation};
	} finally {
		await chain.stop();
	}
}
