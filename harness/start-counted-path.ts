import {once} from 'node:events';
import {Agent, request as startRequest} from 'node:http';
import {createRequestHeaders} from '../fakes/platform-messages.js';
import {startPlainForwarder} from '../naive/start-plain-forwarder.js';
import {platformEdge} from '../platform/edge.js';
import type {Announcement} from '../src/protocol/member.js';
import {reasonHeader} from '../src/protocol/request.js';
import {createAccessLog} from '../src/transport/_lib/create-access-log.js';
import {startServer} from '../src/transport/_lib/start-server.js';
import {createForwarder} from '../src/transport/create-forwarder.js';
import type {Logger} from '../src/transport/create-logger.js';
import {startCallerTask} from '../src/transport/start-caller-task.js';
import {startGateTask} from '../src/transport/start-gate-task.js';
import {startPeerServer} from '../src/transport/start-peer-server.js';
import {recordTimers} from './_lib/record-timers.js';
import {recordWrites} from './_lib/record-writes.js';
import {createGateHandlers} from './create-gate-handlers.js';
import {createSampleAttempt} from './create-sample-attempt.js';
import {createSampleMember} from './create-sample-member.js';
import {createSampleRoute} from './create-sample-route.js';

/** What requests take of the two processes on their way, all requests together. */
export type PathCounts = {
	/** Writes to sockets. */
	readonly callerWrites: number;
	readonly gateWrites: number;
	/** Timers that were started, at both. */
	readonly timers: number;
	/** Header lines that the processes write to each other. */
	readonly requestHeaders: number;
	readonly answerHeaders: number;
	readonly callerLines: number;
	readonly gateLines: number;
};

/** Answer to a request: its status, and the reason of a refusal. */
export type CountedAnswer = `${number} ${string}`;

/** A client, two processes that pass its requests on, and upstreams, all in this process. */
export type CountedPath = {
	/** Sends requests one after the other; returns their answers and what they took. */
	run(paths: readonly string[]): Promise<{
		readonly answers: readonly CountedAnswer[];
		readonly counts: PathCounts;
	}>;
	stop(): Promise<void>;
};

/** Addresses of the processes. */
type Ends = {
	readonly caller: string;
	readonly gate: string;
	readonly upstreams: readonly string[];
	readonly readLines?: () => {readonly caller: number; readonly gate: number};
	stop(): Promise<void>;
};

const slots = 8;

/** Attempts that fill an upstream of one slot and its queue. */
const holders = 5;

const heldPath = '/held';
const holdMs = 600_000;

/** Number of routes to the full service whose requests each reach the gate once. */
export const fullRouteCount = 100;

/** Time on the clock of the nodes, which stands still, ms. */
const standingMs = 10_000;

function readPort(address: string): number {
	return Number(address.split(':')[1]);
}

/** Counts the header lines of a message that begins with its head. */
function countHeaders(text: string): number {
	const [head = ''] = text.split('\r\n\r\n', 1);
	return head.includes('HTTP/1.1') ? head.split('\r\n').length - 1 : 0;
}

function createCountingLogger(onLine: () => void): Logger {
	const logger: Logger = {
		error: onLine,
		warn: onLine,
		info: onLine,
		debug() {
			// Not written by a node.
		},
		child: () => logger,
	};
	return logger;
}

async function startUpstream() {
	return startServer('127.0.0.1:0', (request, response) => {
		request.resume();
		if (request.url === heldPath) {
			return;
		}

		const {'x-boragehitch-request-id': id = ''} = request.headers;
		response.setHeader('x-boragehitch-request-id', id);
		response.end('price');
	});
}

function createAnnouncement(
	address: string,
	changes: Partial<Announcement>,
): Announcement {
	return {
		team: '',
		service: 'pricebook',
		address,
		slots,
		connections: slots,
		state: 'ready',
		...changes,
	};
}

/** Starts the tasks of two nodes, with a remote, a local and a full service. */
async function startNodes(): Promise<Ends> {
	const lines = {caller: 0, gate: 0};
	const createNode = (name: keyof typeof lines) => {
		const logger = createCountingLogger(() => {
			lines[name]++;
		});
		const now = (): number => standingMs;
		// The log writes no more lines than in one second.
		const observer = createAccessLog({logger, readVersion: () => 1, now});
		return {logger, observer, edge: platformEdge, now};
	};

	const [upstream, localUpstream] = await Promise.all([
		startUpstream(),
		startUpstream(),
	]);
	const gateNode = createNode('gate');
	const gate = startGateTask(gateNode);
	gate.announce('i-1', createAnnouncement(upstream.address, {}));
	gate.announce(
		'i-2',
		createAnnouncement(upstream.address, {service: 'full', slots: 1}),
	);
	const peerServer = await startPeerServer({
		...gateNode,
		address: '127.0.0.1:0',
		gate,
		handlers: createGateHandlers(gate),
	});
	const callerNode = createNode('caller');
	const callerGate = startGateTask(callerNode);
	callerGate.announce(
		'i-3',
		createAnnouncement(localUpstream.address, {service: 'local'}),
	);
	const forwarder = createForwarder(callerNode);
	const caller = await startCallerTask({
		...callerNode,
		name: 'abdali-1',
		dataCentre: 'abdali',
		address: '127.0.0.1:0',
		gate: callerGate,
		forwarder,
	});
	const createRoute = (name: string, service: string) =>
		createSampleRoute(name, {
			timeoutMs: 4000,
			objectiveMs: 3000,
			targets: [{service, weight: 1}],
		});
	const fullRoutes = Array.from({length: fullRouteCount}, (_, index) =>
		createRoute(`full-${index}`, 'full'),
	);
	caller.updateRoutes({
		kind: 'document',
		document: {
			version: 1,
			routes: [
				createRoute('prices', 'pricebook'),
				createRoute('local', 'local'),
				createRoute('full', 'full'),
				...fullRoutes,
			],
			services: {},
		},
	});
	const self = createSampleMember();
	const member = createSampleMember({
		name: 'abdali-2',
		address: peerServer.address,
	});
	const createCandidate = ({name, address}: typeof member, count: number) => ({
		host: name,
		address,
		dataCentre: 'abdali',
		slots: count,
		sinceMs: 0,
	});
	caller.updateMembers({
		self,
		members: [member],
		candidates: new Map([
			['pricebook', [createCandidate(member, slots)]],
			['local', [createCandidate(self, slots)]],
			['full', [createCandidate(member, 1)]],
		]),
	});
	const held = Array.from({length: holders}, async (_, index) =>
		gate.runAttempt(
			createSampleAttempt({
				id: `held-${index}/1`,
				service: 'full',
				path: heldPath,
				remainingMs: holdMs,
				stamp: gate.readStamp(),
			}),
		),
	);
	return {
		caller: caller.address,
		gate: peerServer.address,
		upstreams: [upstream.address, localUpstream.address],
		readLines: () => ({...lines}),
		async stop() {
			upstream.server.closeAllConnections();
			gate.withdraw('i-2');
			await Promise.all(held);
			await Promise.all([caller.stop(), forwarder.stop(), callerGate.stop()]);
			await Promise.all([peerServer.stop(), gate.stop()]);
			await Promise.all([upstream.stop(), localUpstream.stop()]);
		},
	};
}

async function startPlainForwarders(): Promise<Ends> {
	const upstream = await startUpstream();
	const gate = await startPlainForwarder('127.0.0.1:0', upstream.address);
	const readAddress = (server: typeof gate): string => {
		const bound = server.address();
		return `127.0.0.1:${typeof bound === 'object' ? bound?.port : 0}`;
	};

	const caller = await startPlainForwarder('127.0.0.1:0', readAddress(gate));
	return {
		caller: readAddress(caller),
		gate: readAddress(gate),
		upstreams: [upstream.address],
		async stop() {
			for (const server of [caller, gate]) {
				server.closeAllConnections();
				server.close();
				await once(server, 'close');
			}

			await upstream.stop();
		},
	};
}

/**
 * Starts a client and two nodes, or two plain forwarders in their place, in this
 * process, and counts what requests take of them. The counts don't depend on
 * time: the nodes' clock stands still, and no timer that they start fires.
 *
 * Routes: `/prices/` is served through both nodes, `/local/` by the caller's
 * alone; `/full/` and each `/full-N/` is refused by the gate once, and from then
 * on by the caller's node.
 *
 * @param kind - which processes
 * @returns the path; its counts are of this process, so that there must be only one
 * @example
 * const {counts} = await (await startCountedPath('nodes')).run(['/prices/1']);
 */
export async function startCountedPath(
	kind: 'nodes' | 'plain',
): Promise<CountedPath> {
	let timers = 0;
	const endTimers = recordTimers(() => {
		timers++;
	});
	const ends = await (kind === 'nodes' ? startNodes() : startPlainForwarders());
	const callerPort = readPort(ends.caller);
	const gatePort = readPort(ends.gate);
	const upstreamPorts = new Set(ends.upstreams.map((it) => readPort(it)));
	const localPort = readPort(ends.upstreams.at(-1)!);
	const writes = {caller: 0, gate: 0};
	const headers = {request: 0, answer: 0};
	const endWrites = recordWrites(({localPort: from, remotePort: to, text}) => {
		if (from === callerPort || to === gatePort) {
			writes.caller++;
		} else if (from === gatePort) {
			writes.gate++;
		} else if (to !== undefined && upstreamPorts.has(to)) {
			const isLocal = ends.upstreams.length > 1 && to === localPort;
			writes[isLocal ? 'caller' : 'gate']++;
		}

		if (to === gatePort) {
			headers.request += countHeaders(text);
		} else if (from === gatePort) {
			headers.answer += countHeaders(text);
		}
	});
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	let lastId = 0;

	async function send(path: string): Promise<CountedAnswer> {
		lastId++;
		const [host, port] = ends.caller.split(':');
		return new Promise((resolve, reject) => {
			const sent = startRequest(
				{
					agent,
					host,
					port,
					path,
					headers: createRequestHeaders(`request-${lastId}`),
				},
				(answer) => {
					answer.resume();
					answer.on('end', () => {
						const {statusCode = 0, headers: answerHeaders} = answer;
						const reason = String(answerHeaders[reasonHeader] ?? '');
						resolve(`${statusCode} ${reason}`);
					});
				},
			);
			sent.on('error', reject);
			sent.end();
		});
	}

	function readCounts(): PathCounts {
		const lines = ends.readLines?.() ?? {caller: 0, gate: 0};
		return {
			callerWrites: writes.caller,
			gateWrites: writes.gate,
			timers,
			requestHeaders: headers.request,
			answerHeaders: headers.answer,
			callerLines: lines.caller,
			gateLines: lines.gate,
		};
	}

	return {
		async run(paths) {
			const before = readCounts();
			const answers: CountedAnswer[] = [];
			for (const path of paths) {
				answers.push(await send(path));
			}

			const after = readCounts();
			return {
				answers,
				counts: {
					callerWrites: after.callerWrites - before.callerWrites,
					gateWrites: after.gateWrites - before.gateWrites,
					timers: after.timers - before.timers,
					requestHeaders: after.requestHeaders - before.requestHeaders,
					answerHeaders: after.answerHeaders - before.answerHeaders,
					callerLines: after.callerLines - before.callerLines,
					gateLines: after.gateLines - before.gateLines,
				},
			};
		},
		async stop() {
			endWrites();
			endTimers();
			agent.destroy();
			await ends.stop();
		},
	};
}
