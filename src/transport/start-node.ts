import type {Socket} from 'node:net';
import {peerIdleWaitMs} from '../protocol/constants.js';
import type {Settings} from '../protocol/settings.js';
import {createByteCounter} from './_lib/create-byte-counter.js';
import {combineObservers} from './_lib/combine-observers.js';
import {createProblemLog} from './_lib/create-problem-log.js';
import {createRequestLog} from './_lib/create-request-log.js';
import {listGauges} from './_lib/list-gauges.js';
import {createForwarder} from './create-forwarder.js';
import type {Logger} from './create-logger.js';
import {createMetrics} from './create-metrics.js';
import {createPeerClients} from './create-peer-client.js';
import type {PlatformClient} from './platform-client.js';
import {createTracer} from './create-tracer.js';
import {waitMs} from './_lib/wait-ms.js';
import {startAdministrationTask} from './start-administration-task.js';
import {startCallerTask} from './start-caller-task.js';
import {startCommitTask} from './start-commit-task.js';
import {startConfigurationTask} from './start-configuration-task.js';
import {createCallMonitor} from './_lib/create-call-monitor.js';
import {startGateTask} from './start-gate-task.js';
import {startMembersTask} from './start-members-task.js';
import {startPeerServer} from './start-peer-server.js';
import {startQuarantineTask} from './start-quarantine-task.js';

/** Creates a client of the platform that calls `onSocket` with each of its connections. */
export type CreatePlatform = (
	onSocket: (socket: Socket) => void,
) => PlatformClient;

/** A running node. */
export type RunningNode = {
	readonly callers: string;
	readonly peers: string;
	readonly administration: string;
	/** Announces that the node is leaving, waits for requests in flight, and stops. */
	stop(): Promise<void>;
};

/**
 * Starts all tasks of a node and connects them.
 *
 * @param settings - validated settings
 * @param logger - logger of the node
 * @param createPlatform - creates the client of the platform
 * @returns the running node
 * @example
 * const node = await startNode(settings, logger, createPlatform);
 */
export async function startNode(
	settings: Settings,
	logger: Logger,
	createPlatform: CreatePlatform,
): Promise<RunningNode> {
	const {name, dataCentre} = settings.node;
	const bytes = createByteCounter();
	const platform = createPlatform((socket) => {
		bytes.track('platform', socket);
	});
	const peers = createPeerClients({track: bytes.track});
	const tracer = createTracer({
		trace: settings.trace,
		name,
		dataCentre,
		logger,
	});
	let lastExchangeAt = performance.now();
	const metrics = createMetrics({
		metrics: settings.metrics,
		name,
		dataCentre,
		logger,
		takeBytes: bytes.take,
		readGauges: () =>
			listGauges(
				configuration.readConfiguration(),
				members.readView(),
				performance.now() - lastExchangeAt,
			),
	});
	const observer = combineObservers([
		tracer.observer,
		metrics.observer,
		createRequestLog(logger, settings.log.level),
	]);
	const quarantine = startQuarantineTask({name, dataCentre, peers, logger});
	const calls = createCallMonitor(() => performance.now());
	const gate = startGateTask({
		calls,
		logger,
		quarantine,
		observer,
		onLeaving(id, announcement) {
			members.announce(id, announcement);
		},
	});
	const logRefused = createProblemLog({logger, message: 'request refused'});
	const forwarder = createForwarder({
		onRefused(place, reason) {
			logRefused([{place, reason}]);
		},
	});
	const caller = await startCallerTask({
		name,
		dataCentre,
		address: settings.node.callers,
		gate,
		calls,
		forwarder,
		quarantine,
		logger,
		observer,
	});
	const configuration = startConfigurationTask({
		name,
		dataCentre,
		platform,
		peers,
		logger,
		onConfiguration(next) {
			caller.updateRoutes({kind: 'manifests', configuration: next});
		},
	});
	const commit = startCommitTask({
		platform,
		readConfiguration: configuration.readNewestConfiguration,
		onEntries: configuration.addEntries,
	});
	const peerServer = await startPeerServer({
		address: settings.node.peers,
		gate,
		logger,
		track: bytes.track,
		handlers: {
			handlePoll: configuration.handlePoll,
			handleExchange(exchange) {
				lastExchangeAt = performance.now();
				return members.handleExchange(exchange);
			},
			handleCrashes: quarantine.handleExchange,
			handleAsk: gate.ask,
			handleCancel: gate.cancel,
			handleStamp: gate.readStamp,
		},
	});
	const members = startMembersTask({
		self: {
			name,
			dataCentre,
			address: peerServer.address,
			incarnation: Date.now(),
			sequence: 0,
			state: 'alive',
			upstreams: [],
			capacity: settings.node.capacity,
		},
		seeds: settings.members.seeds,
		peers,
		platform,
		quarantine,
		logger,
		onView(view) {
			caller.updateMembers(view);
			quarantine.updateMembers(view);
			configuration.updateMembers(view);
		},
		onLeaseExpired: gate.withdraw,
	});
	configuration.updateMembers(members.readView());
	const administration = await startAdministrationTask({
		address: settings.node.administration,
		logger,
		commit,
		platform,
		readConfiguration: configuration.readConfiguration,
		readNewestConfiguration: configuration.readNewestConfiguration,
		readView: members.readView,
		readControlBytes: bytes.readTotal,
		announce(id, announced) {
			const announcement = gate.reviseAnnouncement(id, announced);
			const outcome = members.announce(id, announcement);
			if (outcome === 'accepted') {
				gate.announce(id, announcement);
			}

			return outcome;
		},
		withdraw(id) {
			members.withdraw(id);
			gate.withdraw(id);
		},
	});
	logger.info('node started', {
		callers: caller.address,
		peers: peerServer.address,
		administration: administration.address,
	});

	return {
		callers: caller.address,
		peers: peerServer.address,
		administration: administration.address,
		async stop() {
			logger.info('node stopping');
			caller.drain();
			peerServer.drain();
			await members.leave();
			// During this wait, other nodes close their idle connections to this node,
			// so that no attempt is sent on a connection that closes here.
			await Promise.all([gate.drain(), waitMs(peerIdleWaitMs)]);
			await caller.stop();
			configuration.stop();
			members.stop();
			quarantine.stop();
			await Promise.all([peerServer.stop(), administration.stop()]);
			await Promise.all([
				gate.stop(),
				forwarder.stop(),
				peers.stop(),
				platform.stop(),
				tracer.stop(),
				metrics.stop(),
			]);
			logger.info('node stopped');
		},
	};
}
