import type {RequestListener} from 'node:http';
import type {Socket} from 'node:net';
import {computeCapacity} from '../coordination/compute-capacity.js';
import {computeRetryShare} from '../coordination/compute-retry-share.js';
import {
	bodyMemoryBudgetBytes,
	lagThresholdMs,
	revocationMarginMs,
	upstreamLeaseMs,
} from '../protocol/constants.js';
import type {Edge} from '../protocol/edge.js';
import type {Announcement, UpstreamIdentity} from '../protocol/member.js';
import type {MeshSettings} from '../protocol/mesh-settings.js';
import type {DocumentService} from '../protocol/routing-document.js';
import type {AcceptedBatch} from './_lib/create-accept-queue.js';
import {combineObservers} from './_lib/combine-observers.js';
import {createBodyMemoryBudget} from './_lib/create-body-memory-budget.js';
import {createByteCounter} from './_lib/create-byte-counter.js';
import {createAccessLog} from './_lib/create-access-log.js';
import {createLagMeter} from './_lib/create-lag-meter.js';
import {createProblemLog} from './_lib/create-problem-log.js';
import {createReadiness} from './_lib/create-readiness.js';
import {createShortageLog} from './_lib/create-shortage-log.js';
import {discoverUpstream} from './_lib/discover-upstream.js';
import {readProcessorUse} from './_lib/read-processor-use.js';
import {sendJson} from './_lib/send-json.js';
import {startServer} from './_lib/start-server.js';
import {waitMs} from './_lib/wait-ms.js';
import {waitUntilIdle} from './_lib/wait-until-idle.js';
import {createForwarder} from './create-forwarder.js';
import type {Logger} from './create-logger.js';
import {createMeshMetrics} from './create-mesh-metrics.js';
import {createPeerClients} from './create-peer-client.js';
import type {PlatformClient} from './platform-client.js';
import {startCallerTask} from './start-caller-task.js';
import {startDocumentTask, type DocumentStore} from './start-document-task.js';
import {startGateTask} from './start-gate-task.js';
import {startMembersTask} from './start-members-task.js';
import {startPeerServer} from './start-peer-server.js';
import type {RolloutStore} from './rollout-store.js';
import {startQuarantineTask} from './start-quarantine-task.js';
import {startQuotaTask} from './start-quota-task.js';
import {startRolloutTask} from './start-rollout-task.js';

/** Adapter of a platform: what a node needs of it. */
export type MeshPlatform = {
	/** Creates the client of the platform's store. */
	readonly createStore: (
		onSocket: (socket: Socket) => void,
	) => PlatformClient & DocumentStore & {readonly rollouts?: RolloutStore};
	readonly edge: Edge;
	/** Probes an upstream for its identity; undefined when it does not respond or is not healthy. */
	readonly probeUpstream: (
		address: string,
		healthPath: string,
	) => Promise<UpstreamIdentity | undefined>;
	/** Creates the listener for announcements of upstreams. */
	readonly createAnnouncementListener: (handlers: {
		readonly announce: (id: string, announcement: Announcement) => void;
		readonly withdraw: (id: string) => void;
	}) => RequestListener;
};

/** A running node. */
export type RunningMeshNode = {
	/** Applies changed settings. */
	reload(settings: MeshSettings): void;
	/** Leaves the members, drains requests in flight, and stops. */
	stop(): Promise<void>;
};

/** Number of missed announcements after which the lease of an upstream expires. */
const maxMissedAnnouncements = 6;

/** Time before the end of the grace period at which the process starts to exit, ms; a busy process takes up to 250 ms to exit. */
const exitMarginMs = 400;

/** Maximum wait for the servers to close, ms. */
const closeTimeoutMs = 150;

/** Time reserved for the last requests of a stopping node, ms; almost all requests take less. */
const finalRequestsMs = 900;

/** Minimum time that a stopping node keeps serving, ms; the platform's readiness checks take two seconds. */
const minDrainMs = 2500;

/** Accept wait from which connections are logged, ms; after a shorter wait, requests are not outdated. */
const acceptWarningMs = lagThresholdMs;

/** Time without requests after which the node assumes that no clients are left, ms. */
const idleThresholdMs = 700;

/**
 * Starts a node whose platform stores the configuration: starts its tasks and
 * passes messages between them.
 *
 * @param initialSettings - settings at the start
 * @param platform - see `MeshPlatform`
 * @param logger - logger of the node
 * @returns the running node
 * @example
 * const node = await startMeshNode(settings, platform, logger);
 */
export async function startMeshNode(
	initialSettings: MeshSettings,
	platform: MeshPlatform,
	logger: Logger,
): Promise<RunningMeshNode> {
	let settings = initialSettings;
	const {name, dataCentre} = initialSettings;
	const {edge} = platform;
	const byteCounter = createByteCounter();
	const store = platform.createStore((socket) => {
		byteCounter.track('store', socket);
	});
	const peers = createPeerClients({track: byteCounter.track});
	const metrics = createMeshMetrics({
		readGauges: () => ({
			version: document.readDocument()?.version ?? -1,
			proofAgeMs: document.readProofAge(),
			unreadableParts: document.readDocument()?.problems?.length ?? 0,
			members: members.readView().members.filter(({state}) => state === 'alive')
				.length,
			inFlight: caller.readInFlight(),
			rateLimit: gate.readRateLimit() ?? -1,
			quarantined: quarantine.readQuarantined(),
			lagMs: lagMeter.read(),
			rollouts: rollouts?.listGauges(),
			versionCounts: rollouts?.listCounts(),
			runningVersions: rollouts?.listRunning(),
			versionChoices: rollouts?.listChoices(),
		}),
		readQuota: initialSettings.quota && (() => quota!.readCounts()),
		takeBytes: byteCounter.take,
	});
	const observer = combineObservers([
		metrics.observer,
		createAccessLog({
			logger,
			readVersion: () => document.readDocument()?.version,
			now: () => performance.now(),
		}),
		createShortageLog({
			logger,
			readUse: readProcessorUse,
			now: () => performance.now(),
		}),
	]);
	const lagMeter = createLagMeter(() => performance.now());

	/** Creates a handler that records the accept wait of a server's connections and logs long ones. */
	function reportAccepted(server: string) {
		return ({count, waitMs}: AcceptedBatch): void => {
			metrics.recordAcceptWait(server, waitMs);
			if (waitMs >= acceptWarningMs) {
				logger.warn('connections accepted late', {
					server,
					count,
					waitMs: Math.round(waitMs),
					lagMs: Math.round(lagMeter.read()),
				});
			}
		};
	}

	/** Reads a service of the document; names such as `constructor` are no services of their own. */
	function readService(service = ''): DocumentService | undefined {
		const services = document.readDocument()?.services ?? {};
		return Object.hasOwn(services, service) ? services[service] : undefined;
	}

	const quarantine = startQuarantineTask({name, dataCentre, peers, logger});
	const quota =
		initialSettings.quota &&
		startQuotaTask({name, settings: initialSettings.quota, peers, logger});
	const incarnation = Date.now();
	const rollouts =
		initialSettings.rollout && store.rollouts
			? startRolloutTask({
					name,
					incarnation,
					store: store.rollouts,
					peers,
					logger,
					hasJoined: () => members.isMember(),
				})
			: undefined;
	const gate = startGateTask({
		onJobEnd: rollouts,
		logger,
		quarantine,
		edge,
		observer,
		readLag: lagMeter.read,
		readMaxWait: lagMeter.readMaxWait,
		async probeLoad({service, address}) {
			const serviceEntry = readService(service);
			const identity =
				serviceEntry &&
				(await platform.probeUpstream(address, serviceEntry.healthPath));
			return identity?.load;
		},
		onLeaving(id, announcement) {
			members.announce(id, announcement);
		},
	});
	const logRefused = createProblemLog({logger, message: 'request refused'});
	const forwarder = createForwarder({
		readMaxWait: lagMeter.readMaxWait,
		onRefused(place, reason) {
			logRefused([{place, reason}]);
		},
	});
	const bodyMemory = createBodyMemoryBudget(bodyMemoryBudgetBytes);
	const caller = await startCallerTask({
		name,
		dataCentre,
		address: initialSettings.callers,
		gate,
		forwarder,
		quarantine,
		...(quota && {quota}),
		rollouts,
		logger,
		edge,
		observer,
		readLag: lagMeter.read,
		readMaxWait: lagMeter.readMaxWait,
		onAccepted: reportAccepted('callers'),
		readOrigin: () => settings.service,
		readConfirmedAge: () => document.readConfirmedAge(),
		readProofAge: initialSettings.revocation && (() => document.readProofAge()),
		maxProofAgeMs:
			initialSettings.revocation &&
			initialSettings.revocation.maxDelayMs - revocationMarginMs,
		bodyMemory,
		linkMbps: initialSettings.linkMbps,
		computeRetryBudget: (members) =>
			computeRetryShare(
				{
					ratio: settings.retryRatio,
					slack: settings.retrySlack,
					windowMs: settings.retryWindowMs,
				},
				members,
			),
	});
	const document = startDocumentTask({
		name,
		store,
		peers,
		logger,
		revocation: initialSettings.revocation,
		onDocument(next) {
			quota?.updateTenants(next.tenants);
			caller.updateRoutes({kind: 'document', document: next});
		},
		onStoreRestored() {
			members.recheckSeeds();
		},
	});
	const peerServer = await startPeerServer({
		address: initialSettings.peers,
		gate,
		logger,
		bodyMemory,
		readLag: lagMeter.read,
		readMaxWait: lagMeter.readMaxWait,
		onAccepted: reportAccepted('peers'),
		track: byteCounter.track,
		handlers: {
			async handlePoll() {
				throw new Error('this node has no log of manifests');
			},
			handleDocument: document.handlePoll,
			handleExchange: (exchange) => members.handleExchange(exchange),
			handleCrashes: quarantine.handleExchange,
			...(quota && {handleQuota: quota.handleAsk}),
			...(rollouts && {handleRollout: rollouts.handleReport}),
			handleAsk: gate.ask,
			handleCancel: gate.cancel,
			handleStamp: gate.readStamp,
		},
	});
	const members = startMembersTask({
		self: {
			name,
			dataCentre,
			address: initialSettings.peers,
			incarnation,
			sequence: 0,
			state: 'alive',
			upstreams: [],
			capacity: computeCapacity(initialSettings),
		},
		seeds: [],
		peers,
		platform: store,
		quarantine,
		logger,
		leaseMs: Math.max(
			upstreamLeaseMs,
			maxMissedAnnouncements * initialSettings.announceIntervalMs,
		),
		onView(view) {
			// Before the caller knows of new upstreams, their versions must be told apart.
			rollouts?.updateMembers(view);
			caller.updateMembers(view);
			quarantine.updateMembers(view);
			// A node that takes the first members it sees for all would grant the quotas of all.
			if (view.isPartial !== true) {
				quota?.updateMembers(view);
			}

			document.updateMembers(view);
		},
		onLeaseExpired: gate.withdraw,
	});

	/** Whether the upstream on the host no longer needs to be discovered by probes. */
	let isDiscoveryDone = false;

	/** Probes the upstream on the host for its identity, once the configuration contains its service. */
	async function probeUpstream() {
		const {service, upstreamAddress: address} = settings;
		const serviceEntry = readService(service);
		if (service === undefined || address === undefined || !serviceEntry) {
			return undefined;
		}

		const {healthPath, connections} = serviceEntry;
		const identity = await platform.probeUpstream(address, healthPath);
		return identity && {...identity, service, address, connections};
	}

	function announce(id: string, announced: Announcement): void {
		isDiscoveryDone = true;
		const announcement = gate.reviseAnnouncement(id, announced);
		const outcome = members.announce(id, announcement);
		// Once a leaving announcement is acknowledged, the gate must apply it, even if the members did not accept it.
		if (outcome === 'accepted' || announcement.state === 'leaving') {
			gate.announce(id, announcement);
		}
	}

	const announcements = await startServer(
		initialSettings.announcements,
		platform.createAnnouncementListener({
			announce,
			withdraw(id) {
				isDiscoveryDone = true;
				gate.withdraw(id);
				members.withdraw(id);
			},
		}),
		{onAccepted: reportAccepted('announcements')},
	);
	const readiness = createReadiness({
		hasConfiguration: () => document.readDocument() !== undefined,
		hasJoined: () =>
			members.isMember() &&
			quarantine.hasAsked() &&
			(rollouts?.isSettled() ?? true),
	});
	const readinessServer = await startServer(
		initialSettings.readiness,
		(_request, response) => {
			const state = readiness.read();
			sendJson(response, state === 'ready' ? 200 : 503, {state});
		},
		{onAccepted: reportAccepted('readiness')},
	);
	const metricsServer = await startServer(
		initialSettings.metrics,
		(_request, response) => {
			metrics.formatText().then(
				(text) => {
					response.setHeader('content-type', metrics.contentType);
					response.end(text);
				},
				(error: unknown) => {
					logger.warn('metrics not served', {error: String(error)});
					response.destroy();
				},
			);
		},
	);
	void discoverUpstream({
		shouldStop: () => isDiscoveryDone,
		probe: probeUpstream,
		onFound({id, load, report, ...found}) {
			logger.info('upstream found', {id, ...found});
			announce(id, {...found, team: '', state: 'ready'});
			gate.handleReport(id, report, load);
		},
	});
	logger.info('node started', {
		callers: initialSettings.callers,
		peers: initialSettings.peers,
		service: initialSettings.service,
	});

	return {
		reload(next) {
			settings = next;
			logger.info('settings reloaded', {service: next.service});
		},
		async stop() {
			const startedAt = performance.now();
			logger.info('node stopping', {graceMs: settings.graceMs});
			isDiscoveryDone = true;
			const elapsedMs = (): number => performance.now() - startedAt;
			const drainLimitMs = settings.graceMs - exitMarginMs;
			readiness.drain();
			caller.drain({
				servesUntil: startedAt + minDrainMs,
				endsAt: startedAt + drainLimitMs,
			});
			peerServer.drain();
			await members.leave();
			const drained = gate.drain();
			await waitUntilIdle({
				readIdleMs: caller.readIdleMs,
				idleThresholdMs,
				minMs: minDrainMs,
				maxMs: drainLimitMs - finalRequestsMs - elapsedMs(),
			});
			// The end of the grace period could abort requests that arrive from now on.
			caller.refuseAll();
			await Promise.race([
				drained,
				waitMs(Math.max(0, drainLimitMs - elapsedMs())),
			]);
			await waitUntilIdle({
				readIdleMs: () =>
					caller.readInFlight() === 0 && caller.countOwed() === 0
						? Number.POSITIVE_INFINITY
						: 0,
				idleThresholdMs: 1,
				minMs: 0,
				maxMs: drainLimitMs - elapsedMs(),
			});
			logger.info('node drained', {
				durationMs: Math.round(elapsedMs()),
				unanswered: Math.max(caller.readInFlight(), caller.countOwed()),
			});
			lagMeter.stop();
			document.stop();
			members.stop();
			quarantine.stop();
			quota?.stop();
			rollouts?.stop();
			await Promise.race([
				Promise.all([
					caller.stop(),
					peerServer.stop(),
					announcements.stop(),
					readinessServer.stop(),
					metricsServer.stop(),
				]),
				waitMs(closeTimeoutMs),
			]);
			await Promise.all([forwarder.stop(), gate.stop(), store.stop()]);
			logger.info('node stopped');
		},
	};
}
