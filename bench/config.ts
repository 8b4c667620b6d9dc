import {parseArgs} from 'node:util';
import type {ConfigFleet} from './_lib/config-fleet.js';
import {
	measureConfigPhase,
	type ConfigPhase,
	type PhasePlan,
} from './_lib/measure-config-fleet.js';
import {readRunContext} from './_lib/read-machine.js';
import {simulateGossip} from './_lib/simulate-gossip.js';
import {startNaiveFleet} from './_lib/start-naive-fleet.js';
import {startTreeFleet} from './_lib/start-tree-fleet.js';
import {
	summarizePhases,
	type ConfigSummary,
	type WayResult,
} from './_lib/summarize-phases.js';
import {writeMeasurement} from './_lib/write-measurement.js';

const seed = 1;
const changeBytes = 1100;
const headerBytes = 700;
const teams = 40;

function planPhases(isQuick: boolean): readonly PhasePlan[] {
	const seconds = isQuick ? 6 : 15;
	const still = {seconds, teams, restartShare: 0};
	return [
		{...still, phase: 'quiet', rate: 0},
		{...still, phase: 'average', rate: 1.1},
		{...still, phase: 'burst', rate: 20, seconds: isQuick ? 4 : 8},
		{...still, phase: 'restarts', rate: 1.1, restartShare: 0.1},
	];
}

function printPhase(way: string, nodes: number, phase: ConfigPhase): void {
	const {convergenceMs: time} = phase;
	console.log(
		[
			`${way} ${nodes} ${phase.phase}`,
			`convergence ms p50 ${time.p50.toFixed(0)} p99 ${time.p99.toFixed(0)} max ${time.max.toFixed(0)} missing ${time.missing}`,
			`bytes/s mean ${phase.meanNodeBytesPerSecond.toFixed(0)} busiest ${phase.busiestNodeBytesPerSecond.toFixed(0)}`,
			`platform calls/s ${phase.platformCallsPerSecond.toFixed(1)}`,
			`cpu ms/s ${phase.cpuMsPerSecond.toFixed(1)}`,
			`rss MB ${(phase.meanRssBytes / 1e6).toFixed(0)}`,
		].join('\t'),
	);
}

async function measureFleet(
	nodes: number,
	start: (nodes: number) => Promise<ConfigFleet>,
	plans: readonly PhasePlan[],
): Promise<WayResult> {
	const fleet = await start(nodes);
	console.log(`${fleet.way}: ${fleet.reality}`);
	const phases: ConfigPhase[] = [];
	try {
		for (let index = 0; index < teams; index++) {
			await fleet.change(`team-${index}`);
		}

		for (const plan of plans) {
			const phase = await measureConfigPhase(fleet, plan);
			printPhase(fleet.way, nodes, phase);
			phases.push(phase);
		}
	} finally {
		await fleet.stop();
	}

	return {way: fleet.way, nodes, reality: fleet.reality, phases};
}

function simulateWay(nodes: number, plans: readonly PhasePlan[]): WayResult {
	const reality = 'simulated in virtual time with byte counts; no process';
	const options = {nodes, seed, fanOut: 4, changeBytes, headerBytes};
	const phases = plans.map((plan) => simulateGossip(options, plan));
	console.log(`gossip: ${reality}`);
	for (const phase of phases) {
		printPhase('gossip', nodes, phase);
	}

	return {way: 'gossip', nodes, reality, phases};
}

/** Keeps the fields that the last line of output has. */
function formatLastLine({bench, ways, chosen}: ConfigSummary) {
	const entries = Object.entries(ways).map(([way, summaries]) => [
		way,
		summaries.map((summary) => ({
			nodes: summary.nodes,
			convergenceMs: summary.convergenceMs,
			bytesPerNodePerChange: summary.bytesPerNodePerChange,
			busiestNodeBytesPerSecond: summary.busiestNodeBytesPerSecond,
			platformCallsPerSecond: summary.platformCallsPerSecond,
		})),
	]);
	return {bench, ways: Object.fromEntries(entries) as unknown, chosen};
}

/**
 * Measures the delivery of configuration by the tree, by the naive way and by
 * gossip push: `npm run bench -- config [--nodes 10,50,200] [--quick]`.
 *
 * @param argv - arguments of the command
 * @example
 * await benchConfig(['--nodes', '10', '--quick']);
 */
export async function benchConfig(argv: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...argv],
		options: {
			nodes: {type: 'string', default: '10,50'},
			quick: {type: 'boolean', default: false},
		},
	});
	const plans = planPhases(values.quick);
	const command = ['npm run bench -- config', ...argv].join(' ');
	const before = readRunContext(command, seed);
	console.log(`load average ${before.loadAverage.join(' ')}`);
	const results: WayResult[] = [];
	const store = async (ways: readonly WayResult[]) => {
		const {loadAverage} = readRunContext(command, seed);
		await writeMeasurement('config', {
			context: {...before, loadAverageAfter: loadAverage},
			...summarizePhases(ways, 'tree'),
			runs: ways,
		});
	};

	for (const nodes of values.nodes.split(',').map(Number)) {
		results.push(
			await measureFleet(nodes, startTreeFleet, plans),
			await measureFleet(nodes, startNaiveFleet, plans),
			simulateWay(nodes, plans),
		);
		await store(results);
	}

	console.log(JSON.stringify(formatLastLine(summarizePhases(results, 'tree'))));
}
