/**
 * Two nodes of the users' platform as processes, with an upstream beside the
 * second one, and two plain forwarders for comparison.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {type Agent, createServer, request as startRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	createAnswerHeaders,
	createRequestHeaders,
	createSampleAddresses,
	formatSampleHeartbeat,
	formatSampleSettings,
	heartbeatPath,
	sampleDocument,
	samplePath,
} from '../../fakes/platform-messages.js';
import {startPlatform} from '../../fakes/platform-stand-in.js';
import {pollUntil} from '../../harness/poll-until.js';
import {createStoreClient} from '../../platform/create-store-client.js';
import {
	requestIdName,
	settingsFileVariable,
} from '../../platform/wire-names.js';
import {createLogger} from '../../src/transport/create-logger.js';

/** Two nodes in one data centre, each with an IP of its own. */
const ips = ['127.0.0.2', '127.0.0.3'] as const;
const plainAddresses = ['127.0.0.1:8200', '127.0.0.1:8201'] as const;
const upstreamPort = 8300;
const upstreamAddress = `${ips[1]}:${upstreamPort}`;
const usualUpstreamMs = 5;
const answerBytes = 600;
const announceIntervalMs = 1000;
const readyTimeoutMs = 20_000;
const statusOk = 200;

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

export async function sendSample(
	address: string,
	options: {
		readonly path: string;
		readonly agent?: Agent;
		readonly body?: string | Uint8Array;
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
		sendSample(announcements, {path: heartbeatPath, body}).catch(
			(error: unknown) => {
				console.error(`heartbeat not sent: ${String(error)}`);
			},
		);
	}, announceIntervalMs);
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

function startUpstream(upstreamMs: number) {
	const upstream = createServer((request, response) => {
		request.resume();
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
		new URL('../../naive/start-two-hop.js', import.meta.url),
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

/** Options of `startPlatformPair`. */
export type PlatformPairOptions = {
	/** The program of a node. */
	readonly target?: string;
	/** Further options of the runtime of the nodes. */
	readonly runtimeOptions?: readonly string[];
	/** Time that the upstream takes, ms. */
	readonly upstreamMs?: number;
};

/** Two nodes and two forwarders, which all run. */
export type PlatformPair = {
	/** The caller's node and the upstream's. */
	readonly nodes: readonly ChildProcess[];
	readonly plain: readonly ChildProcess[];
	/** Where the caller's node takes requests. */
	readonly callers: string;
	/** Where the first forwarder takes them. */
	readonly plainAddress: string;
	stop(): Promise<void>;
};

/**
 * Starts two nodes, an upstream, a store and two plain forwarders.
 *
 * @param options - see `PlatformPairOptions`
 * @returns them, once the nodes serve a request
 * @example
 * const pair = await startPlatformPair({upstreamMs: 5});
 */
export async function startPlatformPair({
	target = 'target/boragehitch.mjs',
	runtimeOptions = [],
	upstreamMs = usualUpstreamMs,
}: PlatformPairOptions = {}): Promise<PlatformPair> {
	const folder = await mkdtemp(path.join(tmpdir(), 'boragehitch-pair-'));
	const store = await startStore();
	const upstream = startUpstream(upstreamMs);
	const options = [...(await readNodeOptions()), ...runtimeOptions];
	const nodes: ChildProcess[] = [];
	for (const ip of ips) {
		const file = path.join(folder, `${ip}.yaml`);
		await writeFile(file, formatSampleSettings(ip, store.store));
		nodes.push(
			spawnNode([...options, target, 'node'], {[settingsFileVariable]: file}),
		);
	}

	const plain = startPlainForwarders();
	const timer = startAnnouncing();
	const {callers} = createSampleAddresses(ips[0]);
	await pollUntil(
		async () => (await sendSample(callers, {path: samplePath})) === statusOk,
		readyTimeoutMs,
	);
	return {
		nodes,
		plain,
		callers,
		plainAddress: plainAddresses[0],
		async stop() {
			clearInterval(timer);
			await stopAll([...nodes, ...plain]);
			upstream.closeAllConnections();
			upstream.close();
			await store.stop();
		},
	};
}
