import type {IncomingHttpHeaders} from 'node:http';
import {setFlagsFromString} from 'node:v8';
import type {Edge} from '../protocol/edge.js';
import type {Candidate, MembersView} from '../protocol/member.js';
import type {RoutingDocument} from '../protocol/routing-document.js';
import {createPooledAgent} from './_lib/create-pooled-agent.js';
import {sendRequest} from './_lib/send-request.js';
import {startServer, type RunningServer} from './_lib/start-server.js';
import {waitMs} from './_lib/wait-ms.js';
import {createForwarder} from './create-forwarder.js';
import type {Logger} from './create-logger.js';
import {createMeshMetrics} from './create-mesh-metrics.js';
import {startCallerTask} from './start-caller-task.js';
import {startGateTask} from './start-gate-task.js';
import {startPeerServer} from './start-peer-server.js';

/** Options of `runWarmUp`. */
export type WarmUpOptions = {
	readonly edge: Edge;
	readonly logger: Logger;
	/** Whether the node still has nothing else to do; checked between requests. */
	readonly isIdle: () => boolean;
	/** Sample requests; 800 when absent, after which most of the code is compiled. */
	readonly requests?: number;
};

/** Address that only the own process uses. */
const loopback = '127.0.0.1:0';

const hostName = 'warm-up.invalid';
const upstreamId = 'warm-up';
const service = 'warm-up';
const slots = 6;

/** Requests at a time; as many as the upstream has slots, and some that wait. */
const concurrency = 8;

/** Time that an answer of the sample upstream takes, ms; lets others wait. */
const upstreamMs = 2;
const answerBytes = 2000;
const bodyBytes = 500;

/** Executed bytecode after which V8 optimizes a function, bytes; a short run reaches it. */
const warmUpBudget = 20_000;

/** The same after the warm-up; as in the run command of deploy/system.toml. */
const usualBudget = 40_000;

/** Pause after each batch of requests, ms: leaves time for the other tasks. */
const pauseMs = 1;

/** Requests that may be repeated, and others. */
const paths = ['/lookups/1', '/orders/1'] as const;

const document: RoutingDocument = {
	version: 0,
	routes: paths.map((path, index) => ({
		name: path,
		host: hostName,
		pathPrefix: path.slice(0, -1),
		repeatable: index === 0,
		timeoutMs: 2000,
		objectiveMs: 200,
		priority: index,
		maxAttempts: 2,
		targets: [{service, weight: 1}],
	})),
	services: {[service]: {healthPath: '/', connections: slots * 2}},
};

function createView(candidate: Candidate): MembersView {
	const {host, address, dataCentre} = candidate;
	const self = {
		name: host,
		dataCentre,
		address,
		incarnation: 0,
		sequence: 0,
		state: 'alive',
		upstreams: [],
	} as const;
	return {
		self,
		members: [self],
		candidates: new Map([[service, [candidate]]]),
	};
}

async function startUpstream(): Promise<RunningServer> {
	return startServer(loopback, (request, response) => {
		request.resume();
		request.on('end', () => {
			setTimeout(() => {
				response.end('x'.repeat(answerBytes));
			}, upstreamMs);
		});
	});
}

/** Starts both hops of a request in this process, apart from its real tasks. */
async function startSampleHops({edge, logger}: WarmUpOptions) {
	const {observer} = createMeshMetrics({
		readGauges: () => ({version: 0, members: 1, inFlight: 0}),
	});
	const upstream = await startUpstream();
	const gate = startGateTask({logger, edge, observer});
	gate.announce(upstreamId, {
		team: '',
		service,
		address: upstream.address,
		slots,
		connections: slots * 2,
		state: 'ready',
	});
	const refuseCall = (): never => {
		throw new Error('there are no calls during the warm-up');
	};

	const peerServer = await startPeerServer({
		address: loopback,
		gate,
		logger,
		handlers: {
			handlePoll: refuseCall,
			handleExchange: refuseCall,
			handleAsk: gate.ask,
			handleCancel: gate.cancel,
			handleStamp: gate.readStamp,
		},
	});
	const forwarder = createForwarder();
	const caller = await startCallerTask({
		name: 'caller',
		dataCentre: 'own',
		address: loopback,
		gate,
		forwarder,
		logger,
		observer,
		edge,
	});
	caller.tellRoutes({kind: 'document', document});
	caller.tellView(
		createView({
			host: 'gate',
			address: peerServer.address,
			dataCentre: 'own',
			slots,
			sinceMs: 0,
		}),
	);
	return {
		address: caller.address,
		async stop() {
			await Promise.all([forwarder.stop(), gate.stop()]);
			await Promise.all([caller.stop(), peerServer.stop(), upstream.stop()]);
		},
	};
}

/**
 * Runs sample requests through both hops within the own process while it is
 * idle, so that its code is compiled before the first real request.
 *
 * Answers the load of a fleet that has just started: code that runs for the
 * first time takes several times as long, and all nodes run it at the same
 * moment. A node that is needed at once, as after a restart, does without.
 *
 * @param options - see `WarmUpOptions`
 * @returns how many requests were answered
 * @example
 * await runWarmUp({edge: ownEdge, logger, isIdle: () => true});
 */
export async function runWarmUp(options: WarmUpOptions): Promise<number> {
	const {isIdle, requests = 800} = options;
	const hops = await startSampleHops(options);
	const agent = createPooledAgent();
	const headers: IncomingHttpHeaders = {host: hostName};
	const body = new Uint8Array(bodyBytes);
	let sent = 0;
	let answered = 0;

	async function sendInTurn(): Promise<void> {
		while (sent < requests && isIdle()) {
			const path = paths[sent % paths.length]!;
			const isOrder = path === paths[1];
			sent++;
			const outcome = await sendRequest(
				{
					method: isOrder ? 'POST' : 'GET',
					path,
					headers: isOrder
						? {...headers, 'content-length': String(bodyBytes)}
						: headers,
					body: isOrder ? body : undefined,
				},
				{agent, address: hops.address},
			).outcome;
			answered += outcome.kind === 'answered' ? 1 : 0;
			await waitMs(pauseMs);
		}
	}

	setFlagsFromString(`--interrupt-budget=${warmUpBudget}`);
	try {
		await Promise.all(Array.from({length: concurrency}, sendInTurn));
	} finally {
		setFlagsFromString(`--interrupt-budget=${usualBudget}`);
		agent.destroy();
		await hops.stop();
	}

	return answered;
}
