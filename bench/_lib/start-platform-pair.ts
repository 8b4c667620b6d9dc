/**
 * Two nodes of the users' platform as processes, with upstreams beside them,
 * and two plain forwarders for comparison. All of them listen on free ports.
 */
import type {ChildProcess} from 'node:child_process';
import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	createSampleDocument,
	formatHeartbeatPath,
	formatSampleHeartbeat,
	formatSampleSettings,
	samplePath,
	sampleService,
	type SampleServer,
} from '../../fakes/platform-messages.js';
import {startPlatform} from '../../fakes/platform-stand-in.js';
import {pollUntil} from '../../harness/poll-until.js';
import {createStoreClient} from '../../platform/create-store-client.js';
import {settingsFileVariable} from '../../platform/wire-names.js';
import {createLogger} from '../../src/transport/create-logger.js';
import type {BenchProcesses} from './create-bench-processes.js';
import {findFreeAddresses} from './find-free-addresses.js';
import {sendSample} from './send-sample.js';
import {startSampleUpstream} from './start-sample-upstream.js';

const usualUpstreamMs = 5;
const sampleSlots = 50;
const announceIntervalMs = 1000;
const readyTimeoutMs = 30_000;
const statusOk = 200;

/** Time for which the slots of the full service are held, s. */
const holdSeconds = 3600;
const msPerSecond = 1000;

/** Attempts that a gate admits to an upstream of one slot: one runs, four are queued. */
const holders = 5;

const holdPath = '/holds/';
const callingPath = '/calls/1';
const calledPath = '/called/1';

/**
 * Routes to the full service. A caller's node sends a gate no request for up to
 * 400 ms after it has refused one of the same route, so that each of these gets
 * a request more rarely.
 */
const fullRoutes = 400;

/** Route to the full service that gets its requests more often. */
const busyPath = '/full/1';

/** Kinds of request that a pair serves or refuses. */
export type RequestKind =
	'served' | 'calling' | 'caller-refused' | 'gate-refused';

const paths: Readonly<Record<RequestKind, (index: number) => string>> = {
	served: () => samplePath,
	calling: () => callingPath,
	'caller-refused': () => busyPath,
	'gate-refused': (index) => `/full-${index % fullRoutes}/1`,
};

/** Formats the path of a request of a kind. */
export function formatKindPath(kind: RequestKind, index: number): string {
	return paths[kind](index);
}

/** Long enough for a busy machine: what is expected late is refused. */
const servedLimits = {timeoutSeconds: 4, objectiveSeconds: 3};

const document = createSampleDocument([
	{name: 'prices', service: sampleService, ...servedLimits},
	{name: 'calls', service: sampleService, ...servedLimits},
	{name: 'called', service: 'called', ...servedLimits},
	{name: 'holds', service: 'full', timeoutSeconds: holdSeconds, attempts: 1},
	{name: 'full', service: 'full', attempts: 1},
	...Array.from({length: fullRoutes}, (_, index) => ({
		name: `full-${index}`,
		service: 'full',
		attempts: 1,
	})),
]);

/** A caller's and a gate's process, which run. */
export type ForwardingPair = {
	/** That of the caller, and that of the upstream. */
	readonly processes: readonly ChildProcess[];
	/** Where requests are taken. */
	readonly address: string;
	stop(): Promise<void>;
};

/** Options of `startPlatformPair`. */
export type PlatformPairOptions = {
	readonly processes: BenchProcesses;
	/** Folder for the settings files. */
	readonly folder: string;
	/** Name of the pair, for messages. */
	readonly name: string;
	/** The program of a node. */
	readonly target: string;
	/** Further options of the runtime of the nodes. */
	readonly runtimeOptions?: readonly string[];
	/** Time that the upstream takes, ms. */
	readonly upstreamMs?: number;
};

type DeployedNode = {
	/** Options of the runtime with which the platform starts a node. */
	readonly options: readonly string[];
	/** Port of a node's metrics on its IP. */
	readonly metricsPort: number;
};

async function readDeployedNode(): Promise<DeployedNode> {
	const text = await readFile('deploy/system.toml', 'utf8');
	const command = /^run = "(.*)"$/mv.exec(text)?.[1] ?? '';
	const metricsPort = /^metrics = "(\d+)\//mv.exec(text)?.[1];
	return {
		options: command.split(' ').filter((word) => word.startsWith('--')),
		metricsPort: Number(metricsPort ?? 0),
	};
}

async function startStore() {
	const platform = await startPlatform();
	const store = new URL(platform.url).host;
	const logger = createLogger('error', 'bench');
	const client = createStoreClient(store, {logger});
	await client.writeObject('config/main', document, {kind: 'absent'});
	await client.stop();
	return {store, stop: platform.stop};
}

/** Announces servers to the node at an address again and again. */
function startAnnouncing(
	address: string,
	servers: readonly SampleServer[],
): () => void {
	let sequence = 0;
	const announce = (): void => {
		sequence++;
		for (const server of servers) {
			sendSample(address, {
				path: formatHeartbeatPath(server.id),
				body: formatSampleHeartbeat(server, sequence),
			}).catch(() => {
				// The node does not listen yet, or no longer.
			});
		}
	};

	announce();
	const timer = setInterval(announce, announceIntervalMs);
	return () => {
		clearInterval(timer);
	};
}

/** Finds the addresses of a node. */
async function findNodeAddresses(metricsPort: number) {
	const {ip, ports} = await findFreeAddresses(metricsPort, 4);
	const [callers = 0, readiness = 0, announcements = 0, peers = 0] = ports;
	return {
		ip,
		ports: {callers, readiness, announcements, peers},
		callers: `${ip}:${callers}`,
		announcements: `${ip}:${announcements}`,
	};
}

/** Waits until a path is answered with 200. */
async function waitUntilServed(
	name: string,
	address: string,
	path: string,
): Promise<void> {
	let seen: unknown = 'no answer';
	const isServed = await pollUntil(async () => {
		try {
			const {status, reason} = await sendSample(address, {
				path,
				signal: AbortSignal.timeout(readyTimeoutMs),
			});
			seen = `${status} ${reason}`;
			return status === statusOk;
		} catch (error) {
			seen = error;
			return false;
		}
	}, readyTimeoutMs);
	if (!isServed) {
		throw new Error(
			`${name} does not serve ${path} after ${readyTimeoutMs} ms: ${String(seen)}`,
		);
	}
}

/** Has requests take and keep all that the gate admits to the full service. */
function holdFullService(address: string): () => void {
	const controller = new AbortController();
	const {signal} = controller;
	for (let index = 0; index < holders; index++) {
		sendSample(address, {
			path: `${holdPath}${index}`,
			id: `hold-${index}`,
			deadlineMs: holdSeconds * msPerSecond,
			signal,
		}).catch(() => {
			// Ended with the pair.
		});
	}

	return () => {
		controller.abort();
	};
}

/**
 * Starts two nodes, their upstreams and a store.
 *
 * @param options - see `PlatformPairOptions`
 * @returns them, once the nodes serve and refuse requests
 * @throws when they do not in time
 * @example
 * const pair = await startPlatformPair({processes, folder, name: 'node', target});
 */
export async function startPlatformPair({
	processes,
	folder,
	name,
	target,
	runtimeOptions = [],
	upstreamMs = usualUpstreamMs,
}: PlatformPairOptions): Promise<ForwardingPair> {
	const deployed = await readDeployedNode();
	const store = await startStore();
	const caller = await findNodeAddresses(deployed.metricsPort);
	const gate = await findNodeAddresses(deployed.metricsPort);
	const upstream = await startSampleUpstream({
		ip: gate.ip,
		serviceMs: upstreamMs,
		holdPath,
		calls: {path: callingPath, address: gate.callers, calledPath},
	});
	const called = await startSampleUpstream({
		ip: caller.ip,
		serviceMs: upstreamMs,
	});
	const roles = Object.entries({caller, gate});
	const children: ChildProcess[] = [];
	for (const [role, {ip, ports}] of roles) {
		const file = path.join(folder, `${name}-${role}.yaml`);
		await writeFile(file, formatSampleSettings(ip, ports, store.store));
		children.push(
			processes.start({
				name: `${name} at the ${role}`,
				argv: [...deployed.options, ...runtimeOptions, target, 'node'],
				environment: {[settingsFileVariable]: file},
			}),
		);
	}

	const stopAnnouncements = [
		startAnnouncing(gate.announcements, [
			{
				id: 'i-1',
				service: sampleService,
				address: upstream.address,
				slots: sampleSlots,
			},
			{id: 'i-2', service: 'full', address: upstream.address, slots: 1},
		]),
		startAnnouncing(caller.announcements, [
			{
				id: 'i-3',
				service: 'called',
				address: called.address,
				slots: sampleSlots,
			},
		]),
	];
	await waitUntilServed(name, caller.callers, samplePath);
	await waitUntilServed(name, caller.callers, callingPath);
	const release = holdFullService(caller.callers);
	return {
		processes: children,
		address: caller.callers,
		async stop() {
			release();
			for (const stopAnnouncing of stopAnnouncements) {
				stopAnnouncing();
			}

			upstream.stop();
			called.stop();
			await store.stop();
		},
	};
}

/**
 * Starts two plain forwarders and their upstreams.
 *
 * @param processes - set to which their processes are added
 * @param upstreamMs - time that the upstream takes, ms
 * @returns them, once they serve a request
 * @throws when they do not in time
 * @example
 * const plain = await startPlainPair(processes);
 */
export async function startPlainPair(
	processes: BenchProcesses,
	upstreamMs = usualUpstreamMs,
): Promise<ForwardingPair> {
	const file = fileURLToPath(
		new URL('../../naive/start-two-hop.js', import.meta.url),
	);
	const {ip, ports} = await findFreeAddresses(0, 4);
	const [first, second, back, last] = ports.map((port) => `${ip}:${port}`);
	const called = await startSampleUpstream({ip, serviceMs: upstreamMs});
	const upstream = await startSampleUpstream({
		ip,
		serviceMs: upstreamMs,
		calls: {path: callingPath, address: back!, calledPath},
	});
	const children = [
		processes.start({
			name: 'plain forwarder at the caller',
			argv: [file, first!, second!, last!, called.address],
		}),
		processes.start({
			name: 'plain forwarder at the gate',
			argv: [file, second!, upstream.address, back!, last!],
		}),
	];
	await waitUntilServed('plain forwarder', first!, samplePath);
	await waitUntilServed('plain forwarder', first!, callingPath);
	return {
		processes: children,
		address: first!,
		async stop() {
			upstream.stop();
			called.stop();
		},
	};
}
