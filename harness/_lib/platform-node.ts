/**
 * Nodes of the users' platform in the own process, with its store, for tests.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer,
	request,
	type Agent,
	type IncomingHttpHeaders,
	type OutgoingHttpHeaders,
	type Server,
} from 'node:http';
import type {TestContext} from 'node:test';
import {platformDocument} from '../../fakes/platform-document.js';
import {startPlatform} from '../../fakes/platform-stand-in.js';
import {createControlListener} from '../../platform/create-control-listener.js';
import {createServerProbe} from '../../platform/create-server-probe.js';
import {createStoreClient} from '../../platform/create-store-client.js';
import {platformEdge} from '../../platform/edge.js';
import type {MeshSettings} from '../../src/protocol/mesh-settings.js';
import {startMeshNode} from '../../src/transport/start-mesh-node.js';
import {createSilentLogger} from '../create-silent-logger.js';
import {pollUntil} from '../poll-until.js';

const logger = createSilentLogger();

/** Longest wait until a node is ready, ms; it takes about two seconds. */
export const readyTimeoutMs = 20_000;

export async function listen(server: Server, t: TestContext): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const bound = server.address();
	return `127.0.0.1:${typeof bound === 'object' ? bound?.port : 0}`;
}

export async function findAddresses(
	count: number,
	t: TestContext,
): Promise<string[]> {
	const servers = Array.from({length: count}, () => createServer());
	const addresses = [];
	for (const server of servers) {
		addresses.push(await listen(server, t));
	}

	for (const server of servers) {
		server.close();
		await once(server, 'close');
	}

	return addresses;
}

/** An answer as a client sees it. */
export type ClientAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

export async function sendRequest(
	address: string,
	path: string,
	options: {
		readonly method?: string;
		readonly body?: string;
		readonly agent?: Agent | false;
		readonly id?: string;
		readonly deadlineMs?: number;
		/** Further headers, by names in any case. */
		readonly headers?: OutgoingHttpHeaders;
	} = {},
): Promise<ClientAnswer> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		const sent = request(
			{
				host,
				port,
				path,
				method: options.method ?? 'GET',
				agent: options.agent,
				headers: {
					host: 'prices.example',
					'x-boragehitch-request-id': options.id ?? 'id',
					'x-boragehitch-deadline-ms': String(options.deadlineMs ?? 2000),
					...options.headers,
				},
			},
			(answer) => {
				answer.resume();
				answer.on('end', () => {
					resolve({status: answer.statusCode!, headers: answer.headers});
				});
				answer.on('error', reject);
			},
		);
		sent.on('error', reject);
		sent.end(options.body);
	});
}

export async function startStore(
	t: TestContext,
	document: unknown = platformDocument,
): Promise<string> {
	const platform = await startPlatform();
	t.after(async () => platform.stop());
	const address = new URL(platform.url).host;
	const store = createStoreClient(address, {logger});
	await store.writeObject('config/main', document, {kind: 'absent'});
	await store.stop();
	return address;
}

/** What stops the nodes of a test. */
const stopsByTest = new WeakMap<TestContext, Array<() => Promise<void>>>();

/**
 * Stops a node at the end of its test, beside the others of the test: one that
 * goes on after a failed test would keep the process from ending.
 */
function stopAfter(t: TestContext, stop: () => Promise<void>): void {
	const known = stopsByTest.get(t);
	if (known) {
		known.push(stop);
		return;
	}

	const stops = [stop];
	stopsByTest.set(t, stops);
	t.after(async () => Promise.all(stops.map(async (stopNode) => stopNode())));
}

export async function startPlatformNode(
	t: TestContext,
	name: string,
	storeAddress: string,
	changes: Partial<MeshSettings> = {},
) {
	const addresses = await findAddresses(5, t);
	const [callers, peers, readiness, announcements, metrics] = addresses;
	const settings: MeshSettings = {
		name,
		dataCentre: 'abdali',
		callers: callers!,
		peers: peers!,
		readiness: readiness!,
		announcements: announcements!,
		metrics: metrics!,
		store: storeAddress,
		service: 'payables',
		upstreamAddress: undefined,
		announceIntervalMs: 1000,
		graceMs: 4000,
		retryRatio: 0.2,
		retrySlack: 56,
		retryWindowMs: 10_000,
		...changes,
	};
	const started = await startMeshNode(
		settings,
		{
			createStore: (onSocket) =>
				createStoreClient(storeAddress, {logger, onSocket}),
			edge: platformEdge,
			probeUpstream: createServerProbe(),
			createAnnouncementListener: (handlers) =>
				createControlListener({...handlers, logger}),
		},
		logger,
	);
	let stopped: Promise<void> | undefined;
	const node = {
		...started,
		async stop() {
			stopped ??= started.stop();
			return stopped;
		},
	};
	stopAfter(t, node.stop);
	return {node, settings};
}

/** What an upstream says of itself in a heartbeat. */
export type Heartbeat = {
	readonly id?: string;
	readonly born?: number;
	readonly slots?: number;
	readonly sequence?: number;
	readonly state?: 'ready' | 'draining';
	/** Version of its software. */
	readonly version?: string;
};

export async function announceUpstream(
	settings: MeshSettings,
	address: string,
	{
		id = 'i-1',
		born = 5,
		slots = 6,
		sequence = 1,
		state = 'ready',
		version,
	}: Heartbeat = {},
) {
	await sendRequest(settings.announcements, `/instances/${id}/heartbeat`, {
		method: 'POST',
		// The node may have started again since the last one.
		agent: false,
		body: JSON.stringify({
			address,
			born,
			info: {service: 'pricebook', slots, version},
			status: {state, sequence},
		}),
	});
}

export async function waitUntilServed({callers}: MeshSettings): Promise<void> {
	const isServed = await pollUntil(async () => {
		const {status} = await sendRequest(callers, '/prices/lamb');
		return status === 200;
	}, readyTimeoutMs);
	assert.ok(isServed, 'no request was served');
}

/** Reads the metrics of a node as text. */
export async function readMetrics({metrics}: MeshSettings): Promise<string> {
	const answer = await fetch(`http://${metrics}/metrics`);
	return answer.text();
}
