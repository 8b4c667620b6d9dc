/**
 * Measures what a request costs both nodes on its way on the users' platform,
 * beside a plain forwarder: `npm run bench -- cost`.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, readdir, readFile, writeFile} from 'node:fs/promises';
import {Agent, createServer, request as startRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {
	createAnswerHeaders,
	createRequestHeaders,
	createSampleAddresses,
	formatSampleHeartbeat,
	formatSampleSettings,
	heartbeatPath,
	sampleDocument,
	samplePath,
} from '../fakes/platform-messages.js';
import {startPlatform} from '../fakes/platform-stand-in.js';
import {pollUntil} from '../harness/poll-until.js';
import {createStoreClient} from '../platform/create-store-client.js';
import {requestIdName, settingsFileVariable} from '../platform/wire-names.js';
import {bytesPerKibibyte, msPerSecond} from '../src/protocol/constants.js';
import {createLogger} from '../src/transport/create-logger.js';
import {readProcessUsage} from './_lib/read-process-usage.js';
import {summarizeProfile} from './_lib/summarize-profile.js';

/** Two nodes in one data centre, each with an IP of its own. */
const ips = ['127.0.0.2', '127.0.0.3'] as const;
const plainAddresses = ['127.0.0.1:8200', '127.0.0.1:8201'] as const;
const upstreamPort = 8300;
const upstreamAddress = `${ips[1]}:${upstreamPort}`;
const upstreamMs = 5;
const answerBytes = 600;
const announceIntervalMs = 1000;
const readyTimeoutMs = 20_000;
const shownRows = 40;
const statusOk = 200;

type Load = {
	/** Requests a second. */
	readonly rate: number;
	/** Length of a round, s. */
	readonly seconds: number;
	readonly rounds: number;
};

function spawnNode(
	argv: readonly string[],
	environment: NodeJS.ProcessEnv = {},
): ChildProcess {
	return spawn(process.execPath, argv, {
		stdio: ['ignore', 'ignore', 'inherit'],
		env: {...process.env, ...environment},
	});
}

/** Reads the options of the runtime with which the platform starts a node. */
async function readNodeOptions(): Promise<readonly string[]> {
	const text = await readFile('deploy/system.toml', 'utf8');
	const command = /^run = "(.*)"$/mv.exec(text)?.[1] ?? '';
	return command.split(' ').filter((word) => word.startsWith('--'));
}

async function send(
	address: string,
	options: {
		readonly path: string;
		readonly agent?: Agent;
		readonly body?: string;
		readonly id?: string;
	},
): Promise<number> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		const sent = startRequest(
			{
				host,
				port,
				path: options.path,
				agent: options.agent,
				method: options.body === undefined ? 'GET' : 'POST',
				headers: createRequestHeaders(options.id ?? 'request'),
			},
			(answer) => {
				answer.resume();
				answer.on('end', () => {
					resolve(answer.statusCode ?? 0);
				});
				answer.on('error', reject);
			},
		);
		sent.on('error', reject);
		sent.end(options.body);
	});
}

/** Announces the upstream to its node again and again. */
function startAnnouncing(): NodeJS.Timeout {
	const {announcements} = createSampleAddresses(ips[1]);
	let sequence = 0;
	return setInterval(() => {
		sequence++;
		const body = formatSampleHeartbeat(upstreamAddress, sequence);
		send(announcements, {path: heartbeatPath, body}).catch((error: unknown) => {
			console.error(`heartbeat not sent: ${String(error)}`);
		});
	}, announceIntervalMs);
}

/** Sends requests at a steady rate; returns how many were answered with 200. */
async function sendSteadily(
	address: string,
	{rate, seconds}: Load,
): Promise<number> {
	const agent = new Agent({keepAlive: true});
	const answers: Array<Promise<number>> = [];
	for (let number = 0; number < rate * seconds; number++) {
		const id = `request-${number}`;
		answers.push(send(address, {path: samplePath, agent, id}));
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

async function startStore() {
	const platform = await startPlatform();
	const store = new URL(platform.url).host;
	const logger = createLogger('error', 'bench');
	const client = createStoreClient(store, {logger});
	await client.writeObject('config/main', sampleDocument, {kind: 'absent'});
	await client.stop();
	return {store, stop: platform.stop};
}

function startUpstream() {
	const upstream = createServer((request, response) => {
		setTimeout(() => {
			const id = String(request.headers[requestIdName]);
			response.writeHead(statusOk, createAnswerHeaders(id));
			response.end('x'.repeat(answerBytes));
		}, upstreamMs);
	});
	return upstream.listen(upstreamPort, ips[1]);
}

function startPlainForwarders(): ChildProcess[] {
	const file = fileURLToPath(
		new URL('../naive/start-two-hop.js', import.meta.url),
	);
	const [first, second] = plainAddresses;
	return [
		spawnNode([file, first, second]),
		spawnNode([file, second, upstreamAddress]),
	];
}

async function stopAll(children: readonly ChildProcess[]): Promise<void> {
	const ends = children.map(async (child) => once(child, 'exit'));
	for (const child of children) {
		child.kill('SIGTERM');
	}

	await Promise.all(ends);
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
	const store = await startStore();
	const upstream = startUpstream();
	const options = [
		...(await readNodeOptions()),
		...values.option,
		...(values.profile ? ['--cpu-prof', '--cpu-prof-dir', folder] : []),
	];
	const nodes: ChildProcess[] = [];
	for (const ip of ips) {
		const file = path.join(folder, `${ip}.yaml`);
		await writeFile(file, formatSampleSettings(ip, store.store));
		nodes.push(
			spawnNode([...options, values.target, 'node'], {
				[settingsFileVariable]: file,
			}),
		);
	}

	const plain = startPlainForwarders();
	const timer = startAnnouncing();
	const {callers} = createSampleAddresses(ips[0]);
	await pollUntil(
		async () => (await send(callers, {path: samplePath})) === statusOk,
		readyTimeoutMs,
	);
	for (const {cpuMs, rssBytes} of await readUsages(nodes)) {
		console.log(`node started: ${cpuMs} ms, ${formatMebibytes(rssBytes)}`);
	}

	// Nodes are still busy with their start for a time.
	await wait(Number(values.lead) * msPerSecond);
	await measure('node', callers, nodes, load);
	await measure('plain', plainAddresses[0], plain, load);
	clearInterval(timer);
	await stopAll([...nodes, ...plain]);
	upstream.closeAllConnections();
	upstream.close();
	await store.stop();
	await printProfiles(folder);
}
