/**
 * Measures what a request costs both nodes on its way on the users' platform,
 * beside a plain forwarder: `npm run bench -- cost`.
 */
import type {ChildProcess} from 'node:child_process';
import {mkdtemp, readdir, readFile} from 'node:fs/promises';
import {Agent} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {samplePath} from '../fakes/platform-messages.js';
import {bytesPerKibibyte, msPerSecond} from '../src/protocol/constants.js';
import {readProcessUsage} from './_lib/read-process-usage.js';
import {sendSample, startPlatformPair} from './_lib/start-platform-pair.js';
import {summarizeProfile} from './_lib/summarize-profile.js';

const shownRows = 40;
const statusOk = 200;

type Load = {
	/** Requests a second. */
	readonly rate: number;
	/** Length of a round, s. */
	readonly seconds: number;
	readonly rounds: number;
};

/** Sends requests at a steady rate; returns how many were answered with 200. */
async function sendSteadily(
	address: string,
	{rate, seconds}: Load,
): Promise<number> {
	const agent = new Agent({keepAlive: true});
	const answers: Array<Promise<number>> = [];
	for (let number = 0; number < rate * seconds; number++) {
		const id = `request-${number}`;
		answers.push(sendSample(address, {path: samplePath, agent, id}));
		await wait(msPerSecond / rate);
	}

	const statuses = await Promise.all(answers);
	agent.destroy();
	return statuses.filter((status) => status === statusOk).length;
}

function formatMebibytes(bytes: number): string {
	return `${(bytes / bytesPerKibibyte ** 2).toFixed(0)} MiB`;
}

async function readUsages(children: readonly ChildProcess[]) {
	return Promise.all(children.map(async ({pid}) => readProcessUsage(pid!)));
}

async function measure(
	label: string,
	address: string,
	children: readonly ChildProcess[],
	load: Load,
): Promise<void> {
	for (let round = 1; round <= load.rounds; round++) {
		const before = await readUsages(children);
		const answered = await sendSteadily(address, load);
		const after = await readUsages(children);
		const costs = after.map(({cpuMs, rssBytes}, index) => {
			const ms = (cpuMs - before[index]!.cpuMs) / answered;
			return `${ms.toFixed(2)} ms a request, ${formatMebibytes(rssBytes)}`;
		});
		console.log(
			`${label}, round ${round}: ${answered} answered; ${costs.join('; ')}`,
		);
	}
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

/**
 * Sends requests through two nodes, and through two plain forwarders, and
 * prints the processor time and memory of each process.
 *
 * @param argv - `--rate`, `--seconds`, `--rounds`, `--lead` (s), `--profile`,
 * `--target FILE`,
 * and `--option=OPTION` for further options of the runtime
 * @example
 * await benchRequestCost(['--rate', '100']);
 */
export async function benchRequestCost(argv: readonly string[]): Promise<void> {
	const {values} = parseArgs({
		args: [...argv],
		options: {
			rate: {type: 'string', default: '130'},
			seconds: {type: 'string', default: '2'},
			rounds: {type: 'string', default: '6'},
			lead: {type: 'string', default: '0'},
			profile: {type: 'boolean', default: false},
			option: {type: 'string', multiple: true, default: []},
			target: {type: 'string', default: 'target/boragehitch.mjs'},
		},
	});
	const load: Load = {
		rate: Number(values.rate),
		seconds: Number(values.seconds),
		rounds: Number(values.rounds),
	};
	const folder = await mkdtemp(path.join(tmpdir(), 'boragehitch-cost-'));
	const pair = await startPlatformPair({
		target: values.target,
		runtimeOptions: [
			...values.option,
			...(values.profile ? ['--cpu-prof', '--cpu-prof-dir', folder] : []),
		],
	});
	const {nodes, plain, callers, plainAddress} = pair;
	for (const {cpuMs, rssBytes} of await readUsages(nodes)) {
		console.log(`node started: ${cpuMs} ms, ${formatMebibytes(rssBytes)}`);
	}

	// Nodes are still busy with their start for a time.
	await wait(Number(values.lead) * msPerSecond);
	await measure('node', callers, nodes, load);
	await measure('plain', plainAddress, plain, load);
	await pair.stop();
	await printProfiles(folder);
}
