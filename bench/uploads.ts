/**
 * Measures what uploads cost the nodes on their way, beside a plain forwarder:
 * `npm run bench -- uploads`.
 */
import type {ChildProcess} from 'node:child_process';
import {Agent} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {samplePath} from '../fakes/platform-messages.js';
import {bytesPerKibibyte} from '../src/protocol/constants.js';
import {buildTarget} from './_lib/build-target.js';
import type {BenchProcesses} from './_lib/create-bench-processes.js';
import {readProcessUsage} from './_lib/read-process-usage.js';
import {runWithProcesses} from './_lib/run-with-processes.js';
import {sendSample, type SampleAnswer} from './_lib/send-sample.js';
import {startPlainPair, startPlatformPair} from './_lib/start-platform-pair.js';

const bytesPerMegabyte = 1e6;

/** Time that the upstream takes while uploads wait, ms. */
const slowUpstreamMs = 1000;

/** Time between two looks at the memory, ms. */
const sampleIntervalMs = 20;

const statusOk = 200;

type Uploads = {readonly count: number; readonly bytes: number};

async function readMemories(children: readonly ChildProcess[]) {
	const usages = await Promise.all(
		children.map(async ({pid}) => readProcessUsage(pid!)),
	);
	return usages.map(({rssBytes}) => rssBytes);
}

/** Reads the most memory of each process until a signal. */
async function watchMemories(
	children: readonly ChildProcess[],
	signal: AbortSignal,
): Promise<readonly number[]> {
	let peak = await readMemories(children);
	while (!signal.aborted) {
		const memories = await readMemories(children);
		peak = peak.map((most, index) => Math.max(most, memories[index]!));
		await wait(sampleIntervalMs);
	}

	return peak;
}

function formatMebibytes(bytes: number): string {
	return `${(bytes / bytesPerKibibyte ** 2).toFixed(1)} MiB`;
}

function countStatuses(statuses: readonly SampleAnswer[]): string {
	const counts = new Map<number, number>();
	for (const {status} of statuses) {
		counts.set(status, (counts.get(status) ?? 0) + 1);
	}

	return JSON.stringify(Object.fromEntries(counts));
}

/** Sends uploads at once to a slow upstream, and prints the memory that they take. */
async function measureWaiting(
	{count, bytes}: Uploads,
	processes: BenchProcesses,
	folder: string,
): Promise<void> {
	const pair = await startPlatformPair({
		processes,
		folder,
		name: 'slow',
		target: await buildTarget(undefined),
		upstreamMs: slowUpstreamMs,
	});
	const body = new Uint8Array(bytes);
	const before = await readMemories(pair.processes);
	const watching = new AbortController();
	const watched = watchMemories(pair.processes, watching.signal);
	const statuses = await Promise.all(
		Array.from({length: count}, async (_, index) =>
			sendSample(pair.address, {path: samplePath, body, id: `upload-${index}`}),
		),
	);
	watching.abort();
	const peak = await watched;
	await pair.stop();
	for (const [index, role] of ["caller's node", "upstream's node"].entries()) {
		console.log(
			`${role}: ${formatMebibytes(before[index]!)} before, ${formatMebibytes(peak[index]!)} at the peak with ${count} uploads of ${bytes} bytes`,
		);
	}

	console.log(`statuses: ${countStatuses(statuses)}`);
}

/** Sends uploads one after the other; returns the processor time of each process, ms a megabyte. */
async function measureCost(
	address: string,
	children: readonly ChildProcess[],
	{count, bytes}: Uploads,
): Promise<readonly string[]> {
	const agent = new Agent({keepAlive: true});
	const body = new Uint8Array(bytes);
	const read = async () =>
		Promise.all(children.map(async ({pid}) => readProcessUsage(pid!)));
	const before = await read();
	for (let index = 0; index < count; index++) {
		const {status, reason} = await sendSample(address, {
			path: samplePath,
			agent,
			body,
			id: `${index}`,
		});
		if (status !== statusOk) {
			throw new Error(`an upload was answered with ${status} ${reason}`);
		}
	}

	const after = await read();
	agent.destroy();
	const megabytes = (count * bytes) / bytesPerMegabyte;
	return after.map(({cpuMs}, index) =>
		((cpuMs - before[index]!.cpuMs) / megabytes).toFixed(2),
	);
}

/**
 * Prints the memory of both nodes while uploads wait, and their processor time
 * a megabyte beside that of two plain forwarders.
 *
 * @param argv - `--count`, `--bytes` and `--rounds`
 * @example
 * await benchUploads(['--count', '50']);
 */
export async function benchUploads(argv: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...argv],
		options: {
			count: {type: 'string', default: '50'},
			bytes: {type: 'string', default: '360000'},
			rounds: {type: 'string', default: '4'},
		},
	});
	const uploads = {count: Number(values.count), bytes: Number(values.bytes)};
	await runWithProcesses(async (processes, folder) => {
		await measureWaiting(uploads, processes, folder);
	});
	await runWithProcesses(async (processes, folder) => {
		const target = await buildTarget(undefined);
		const settings = {processes, folder, name: 'node', target};
		const pair = await startPlatformPair(settings);
		const plainPair = await startPlainPair(processes);
		for (let round = 1; round <= Number(values.rounds); round++) {
			const node = await measureCost(pair.address, pair.processes, uploads);
			const plain = await measureCost(
				plainPair.address,
				plainPair.processes,
				uploads,
			);
			console.log(
				`round ${round}, ms a megabyte: nodes ${node.join(' and ')}; plain ${plain.join(' and ')}`,
			);
		}

		await pair.stop();
		await plainPair.stop();
	});
}
