/**
 * Measures what a request costs both nodes on its way on the users' platform,
 * beside a plain forwarder: `npm run bench -- cost`.
 */
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {bytesPerKibibyte, msPerSecond} from '../src/protocol/constants.js';
import {buildTarget} from './_lib/build-target.js';
import type {BenchProcesses} from './_lib/create-bench-processes.js';
import {
	measureIdleCost,
	measureRequestCost,
	type RequestCost,
} from './_lib/measure-request-cost.js';
import {
	readProcessUsage,
	type ProcessUsage,
} from './_lib/read-process-usage.js';
import {readRunContext} from './_lib/read-machine.js';
import {runWithProcesses} from './_lib/run-with-processes.js';
import {
	startPlainPair,
	startPlatformPair,
	type ForwardingPair,
	type RequestKind,
} from './_lib/start-platform-pair.js';
import {
	startAllocationSampler,
	type AllocationSampler,
} from './_lib/start-allocation-sampler.js';
import {
	summarizeCosts,
	type Allocations,
	type CostRound,
} from './_lib/summarize-costs.js';
import {summarizeProfile} from './_lib/summarize-profile.js';
import {writeMeasurement} from './_lib/write-measurement.js';

const shownRows = 40;
const kinds: readonly RequestKind[] = [
	'served',
	'calling',
	'caller-refused',
	'gate-refused',
];

/** Kinds that a plain forwarder serves as well. */
const plainKinds: ReadonlySet<RequestKind> = new Set(['served', 'calling']);

/** Fewest rounds that are recorded. */
const minRecordedRounds = 5;

type Side = {readonly name: string; readonly pair: ForwardingPair};

type CostOptions = {
	readonly targets: ReadonlyMap<string, string>;
	readonly runtimeOptions: readonly string[];
	readonly kinds: readonly RequestKind[];
	readonly rate: number;
	/** Length of the load of one kind on one side, s. */
	readonly seconds: number;
	readonly rounds: number;
	/** Time between the start and the first request, s. */
	readonly leadSeconds: number;
	/** Requests of each kind before the first round. */
	readonly warmCount: number;
};

type MemoryRow = {
	readonly side: string;
	/** Processor time since the start and resident memory, by process. */
	readonly processes: ReadonlyArray<Pick<ProcessUsage, 'cpuMs' | 'rssBytes'>>;
};

async function readMemory(
	sides: readonly Side[],
): Promise<readonly MemoryRow[]> {
	return Promise.all(
		sides.map(async ({name, pair}) => {
			const usages = await Promise.all(
				pair.processes.map(async ({pid}) => readProcessUsage(pid!)),
			);
			return {
				side: name,
				processes: usages.map(({cpuMs, rssBytes}) => ({cpuMs, rssBytes})),
			};
		}),
	);
}

function formatMemory(rows: readonly MemoryRow[]): string {
	return rows
		.map(({side, processes}) => {
			const texts = processes.map(
				({cpuMs, rssBytes}) =>
					`${cpuMs.toFixed(0)} ms, ${(rssBytes / bytesPerKibibyte ** 2).toFixed(0)} MiB`,
			);
			return `${side}: ${texts.join('; ')}`;
		})
		.join('\n');
}

async function startSides(
	options: CostOptions,
	processes: BenchProcesses,
	folder: string,
): Promise<readonly Side[]> {
	const sides: Side[] = [];
	for (const [name, target] of options.targets) {
		const {runtimeOptions} = options;
		const settings = {processes, folder, name, target, runtimeOptions};
		sides.push({name, pair: await startPlatformPair(settings)});
	}

	return [...sides, {name: 'plain', pair: await startPlainPair(processes)}];
}

/** Lists the loads of a round: each kind on all sides in turn, in an order that alternates. */
function listLoads(
	sides: readonly Side[],
	{kinds}: CostOptions,
	round: number,
): ReadonlyArray<{readonly kind: RequestKind; readonly side: Side}> {
	const ordered = round % 2 === 0 ? sides : sides.toReversed();
	return kinds.flatMap((kind) =>
		ordered
			.filter(({name}) => name !== 'plain' || plainKinds.has(kind))
			.map((side) => ({kind, side})),
	);
}

async function measureRound(
	sides: readonly Side[],
	options: CostOptions,
	round: number,
): Promise<CostRound> {
	const {rate, seconds} = options;
	const pairs = sides.map(({pair}) => pair);
	const idle = await measureIdleCost(pairs, 1);
	const costs = new Map<string, readonly RequestCost[]>();
	for (const {kind, side} of listLoads(sides, options, round)) {
		const {name, pair} = side;
		const load = {kind, rate, seconds};
		const cost = await measureRequestCost(name, pair, load);
		costs.set(`${name} ${kind}`, cost);
	}

	return {
		idle: new Map(sides.map(({name}, index) => [name, idle[index]!])),
		costs,
	};
}

async function warm(sides: readonly Side[], options: CostOptions) {
	const {rate, warmCount} = options;
	if (warmCount === 0) {
		return;
	}

	for (const {kind, side} of listLoads(sides, options, 0)) {
		const load = {kind, rate, seconds: warmCount / rate};
		await measureRequestCost(side.name, side.pair, load);
	}
}

/** Measures what each kind of request allocates, apart from the rounds, since sampling costs time. */
async function measureAllocations(
	sides: readonly Side[],
	options: CostOptions,
	processes: BenchProcesses,
): Promise<Allocations> {
	const {rate, seconds} = options;
	const samplers = new Map<Side, readonly AllocationSampler[]>();
	for (const side of sides) {
		const started = side.pair.processes.map(async (child) =>
			startAllocationSampler(child, async () => processes.readErrors(child)),
		);
		samplers.set(side, await Promise.all(started));
	}

	/** Samples what a side allocates during some work; returns the bytes of each process, and its length. */
	async function sample(side: Side, work: () => Promise<unknown>) {
		const own = samplers.get(side)!;
		await Promise.all(own.map(async (it) => it.start()));
		const startedAt = performance.now();
		await work();
		const elapsedSeconds = (performance.now() - startedAt) / msPerSecond;
		const bytes = await Promise.all(own.map(async (it) => it.stop()));
		return {bytes, elapsedSeconds};
	}

	const idle = new Map<Side, readonly number[]>();
	for (const side of sides) {
		const {bytes, elapsedSeconds} = await sample(side, async () =>
			wait(seconds * msPerSecond),
		);
		idle.set(
			side,
			bytes.map((it) => it / elapsedSeconds),
		);
	}

	const count = Math.max(1, Math.round(rate * seconds));
	const allocations = new Map<string, readonly number[]>();
	for (const {kind, side} of listLoads(sides, options, 0)) {
		const {name, pair} = side;
		const {bytes, elapsedSeconds} = await sample(side, async () =>
			measureRequestCost(name, pair, {kind, rate, seconds}),
		);
		const idleBytes = idle.get(side)!;
		allocations.set(
			`${name} ${kind}`,
			bytes.map(
				(it, index) => (it - idleBytes[index]! * elapsedSeconds) / count,
			),
		);
	}

	for (const sampler of [...samplers.values()].flat()) {
		sampler.close();
	}

	return allocations;
}

async function printProfiles(folder: string): Promise<void> {
	const files = await readdir(folder);
	for (const file of files.filter((name) => name.endsWith('.cpuprofile'))) {
		const text = await readFile(path.join(folder, file), 'utf8');
		const summary = summarizeProfile(JSON.parse(text));
		console.log(`${file}: busy ${(summary.busyShare * 100).toFixed(1)} %`);
		for (const {name, share} of summary.byFunction.slice(0, shownRows)) {
			console.log(`  ${(share * 100).toFixed(1)} %\t${name}`);
		}
	}
}

/** Names the sides: one build, or two of them as a pair. */
async function nameTargets(
	targets: readonly string[],
	before: string | undefined,
): Promise<ReadonlyMap<string, string>> {
	const [first, second] =
		before === undefined ? targets : [before, targets.at(-1)];
	if (before === undefined && targets.length < 2) {
		return new Map([['node', await buildTarget(first)]]);
	}

	return new Map([
		['before', await buildTarget(first)],
		['after', await buildTarget(second)],
	]);
}

function readKinds(names: readonly string[]): readonly RequestKind[] {
	const known: readonly string[] = kinds;
	const unknown = names.find((name) => !known.includes(name));
	if (unknown !== undefined) {
		throw new Error(`no kind ${unknown}; kinds: ${kinds.join(', ')}`);
	}

	return names.length === 0
		? kinds
		: kinds.filter((kind) => names.includes(kind));
}

function readCount(text: string, name: string, min: number): number {
	const value = Number(text);
	if (!(value >= min)) {
		throw new Error(`--${name} is not a number of at least ${min}: ${text}`);
	}

	return value;
}

/**
 * Sends requests through two nodes, and through two plain forwarders, and
 * prints what each kind of request costs each process.
 *
 * @param argv - `--rate`, `--seconds`, `--rounds`, `--lead` (s), `--warm`
 * (requests of each kind before the first round), `--kind KIND` (repeatable),
 * `--target FILE`, twice or with `--before FILE` for a pair of builds,
 * `--option=OPTION` for further options of the runtime, `--profile`, and
 * `--record` to write the measurement file
 * @example
 * await benchRequestCost(['--rate', '100']);
 */
export async function benchRequestCost(argv: readonly string[]): Promise<void> {
	await runWithProcesses(async (processes, folder) => {
		const {values} = parseArgs({
			args: [...argv],
			options: {
				rate: {type: 'string', default: '100'},
				seconds: {type: 'string', default: '2'},
				rounds: {type: 'string', default: '6'},
				lead: {type: 'string', default: '0'},
				warm: {type: 'string', default: '500'},
				kind: {type: 'string', multiple: true, default: []},
				profile: {type: 'boolean', default: false},
				record: {type: 'boolean', default: false},
				option: {type: 'string', multiple: true, default: []},
				target: {type: 'string', multiple: true, default: []},
				before: {type: 'string'},
			},
		});
		const options: CostOptions = {
			targets: await nameTargets(values.target, values.before),
			runtimeOptions: [
				...values.option,
				...(values.profile ? ['--cpu-prof', '--cpu-prof-dir', folder] : []),
			],
			kinds: readKinds(values.kind),
			rate: readCount(values.rate, 'rate', 1),
			seconds: readCount(values.seconds, 'seconds', 0),
			rounds: readCount(values.rounds, 'rounds', 1),
			leadSeconds: readCount(values.lead, 'lead', 0),
			warmCount: readCount(values.warm, 'warm', 0),
		};
		const context = readRunContext('npm run bench -- cost', 0);
		const sides = await startSides(options, processes, folder);
		console.log('started (processor time and memory of each process):');
		console.log(formatMemory(await readMemory(sides)));
		// Nodes are still busy with their start for a time.
		await wait(options.leadSeconds * msPerSecond);
		await warm(sides, options);
		const rounds: CostRound[] = [];
		for (let round = 0; round < options.rounds; round++) {
			rounds.push(await measureRound(sides, options, round));
			console.log(`round ${round + 1} of ${options.rounds}`);
		}

		const memory = await readMemory(sides);
		console.log(formatMemory(memory));
		const allocations = await measureAllocations(sides, options, processes);
		const {lines, ratios} = summarizeCosts(
			[...options.targets.keys()],
			rounds,
			allocations,
		);
		console.log(lines.join('\n'));
		for (const {pair} of sides) {
			await pair.stop();
		}

		await processes.stop();
		await printProfiles(folder);
		if (values.record) {
			if (options.rounds < minRecordedRounds) {
				throw new Error(`fewer than ${minRecordedRounds} rounds, not recorded`);
			}

			const {rate, seconds, warmCount} = options;
			await writeMeasurement('cost', {
				context,
				load: {rate, seconds, rounds: rounds.length, warmCount},
				memory,
				ratios,
			});
		}
	});
}
