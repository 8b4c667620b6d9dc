import type {RequestListener} from 'node:http';
import type {Socket} from 'node:net';
import {computeCapacity} from '../coordination/compute-capacity.js';
import {computeRetryShare} from '../coordination/compute-retry-share.js';
import {
	bodyMemoryBudgetBytes,
	lagThresholdMs,
	upstreamLeaseMs,
} from '../protocol/constants.js';
import type {Edge} from '../protocol/edge.js';
import type {Announcement, UpstreamIdentity} from '../protocol/member.js';
import type {MeshSettings} from '../protocol/mesh-settings.js';
import type {AcceptedBatch} from './_lib/create-accept-queue.js';
import {combineObservers} from './_lib/combine-observers.js';
import {createBodyMemoryBudget} from './_lib/create-body-memory-budget.js';
import {createByteCounter} from './_lib/create-byte-counter.js';
import {createAccessLog} from './_lib/create-access-log.js';
import {createLagMeter} from './_lib/create-lag-meter.js';
import {createReadiness} from './_lib/create-readiness.js';
import {discoverUpstream} from './_lib/discover-upstream.js';
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

/** What a platform brings to a node. */
export type MeshPlatform = {
	/** Creates the client of its store. */
	readonly createStore: (
		onSocket: (socket: Socket) => void,
	) => PlatformClient & DocumentStore;
	readonly edge: Edge;
	/** Asks an upstream who it is; undefined when it does not answer or is not healthy. */
	readonly probeUpstream: (
		address: string,
		healthPath: string,
	) => Promise<UpstreamIdentity | undefined>;
	/** Creates the listener for what upstreams say of themselves. */
	readonly createAnnouncementListener: (handlers: {
		readonly announce: (id: string, announcement: Announcement) => void;
		readonly withdraw: (id: string) => void;
	}) => RequestListener;
};

/** A running node. */
export type RunningMeshNode = {
	/** Takes over settings that have changed. */
	reload(settings: MeshSettings): void;
	/** Leaves, finishes what is in flight, and stops. */
	stop(): Promise<void>;
};

/** Announcements that may be missed before an upstream counts as gone. */
const missedAnnouncements = 6;

/** Time before the end of the grace period at which the process begins to end by itself, ms; a busy one takes up to 250 ms for that. */
const exitMarginMs = 400;

/** Longest wait for the servers to close, ms. */
const closeTimeoutMs = 150;

/** Time that is kept for the last requests, ms; longer than almost all take. */
const lastRequestsMs = 900;

/** Least time that a stopping node goes on serving, ms; the platform's readiness checks take two seconds. */
const minDrainMs = 2500;

/** Wait of connections above which it is logged, ms; below it requests are not outdated. */
const notableAcceptMs = lagThresholdMs;

/** Time without requests after which no client is left, ms. */
const idleThresholdMs = 700;

/**
 * Starts a node whose platform keeps the configuration: all its tasks, joined
 * by messages.
 *
 * @param first - settings at the start
 * @param platform - what the platform brings
 * @param logger - where the node logs
 * @returns the running node
 * @example
 * const node = await startMeshNode(settings, platform, logger);
 */
export async function startMeshNode(
	first: MeshSettings,
	platform: MeshPlatform,
	logger: Logger,
): Promise<RunningMeshNode> {
	let settings = first;
	const {name, dataCentre} = first;
	const {edge} = platform;
	const bytes = createByteCounter();
	const store = platform.createStore((socket) => {
		bytes.track('store', socket);
	});
	const peers = createPeerClients({track: bytes.track});
	const metrics = createMeshMetrics({
		readGauges: () => ({
			version: document.readDocument()?.version ?? -1,
			unreadableParts: document.readDocument()?.problems?.length ?? 0,
			members: members.readView().members.filter(({state}) => state === 'alive')
				.length,
			inFlight: caller.readInFlight(),
			rateLimit: gate.readRateLimit() ?? -1,
		}),
		takeBytes: bytes.take,
	});
	const observer = combineObservers([
		metrics.observer,
		createAccessLog({
			logger,
			readVersion: () => document.readDocument()?.version,
			now: () => performance.now(),
		}),
	]);
	const lagMeter = createLagMeter(() => performance.now());

	/** Reports how long connections of a server have waited to be accepted. */
	function reportAccepted(server: string) {
		return ({count, waitMs}: AcceptedBatch): void => {
			metrics.recordAcceptWait(server, waitMs);
			if (waitMs >= notableAcceptMs) {
				logger.warn('connections accepted late', {
					server,
					count,
					waitMs: Math.round(waitMs),
					lagMs: Math.round(lagMeter.read()),
				});
			}
		};
	}

	const gate = startGateTask({
		logger,
		edge,
		observer,
		readLag: lagMeter.read,
		async probeLoad({service, address}) {
			const terms = document.readDocument()?.services[service];
			const identity =
				terms && (await platform.probeUpstream(address, terms.healthPath));
			return identity?.load;
		},
		onLeaving(id, announcement) {
			members.announce(id, announcement);
		},
	});
	const forwarder = createForwarder();
	const bodyMemory = createBodyMemoryBudget(bodyMemoryBudgetBytes);
	const caller = await startCallerTask({
		name,
		dataCentre,
		address: first.callers,
		gate,
		forwarder,
		logger,
		edge,
		observer,
		readLag: lagMeter.read,
		onAccepted: reportAccepted('callers'),
		readOrigin: () => settings.service,
		bodyMemory,
		linkMbps: first.linkMbps,
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
		onDocument(next) {
			caller.updateRoutes({kind: 'document', document: next});
		},
	});
	const peerServer = await startPeerServer({
		address: first.peers,
		gate,
		logger,
		bodyMemory,
		readLag: lagMeter.read,
		onAccepted: reportAccepted('peers'),
		track: bytes.track,
		handlers: {
			async handlePoll() {
				throw new Error('this node has no log of manifests');
			},
			handleDocument: document.handlePoll,
			handleExchange: (exchange) => members.handleExchange(exchange),
			handleAsk: gate.ask,
			handleCancel: gate.cancel,
			handleStamp: gate.readStamp,
		},
	});
	const members = startMembersTask({
		self: {
			name,
			dataCentre,
			address: first.peers,
			incarnation: Date.now(),
			sequence: 0,
			state: 'alive',
			upstreams: [],
			capacity: computeCapacity(first),
		},
		seeds: [],
		peers,
		platform: store,
		logger,
		leaseMs: Math.max(
			upstreamLeaseMs,
			missedAnnouncements * first.announceIntervalMs,
		),
		onView(view) {
			caller.updateMembers(view);
			document.updateMembers(view);
		},
		onLeaseExpired: gate.withdraw,
	});

	/** Whether the upstream on the host need not be asked who it is. */
	let isSeekOver = false;

	/** Asks the upstream on the host who it is, once its service is known. */
	async function probeUpstream() {
		const {service, upstreamAddress: address} = settings;
		const terms = document.readDocument()?.services[service ?? ''];
		if (service === undefined || address === undefined || !terms) {
			return undefined;
		}

		const {healthPath, connections} = terms;
		const identity = await platform.probeUpstream(address, healthPath);
		return identity && {...identity, service, address, connections};
	}

	function announce(id: string, announced: Announcement): void {
		isSeekOver = true;
		const announcement = gate.reviseAnnouncement(id, announced);
		const outcome = members.announce(id, announcement);
		// The acknowledgement of a leaving binds, whatever else is known.
		if (outcome === 'accepted' || announcement.state === 'leaving') {
			gate.announce(id, announcement);
		}
	}

	const announcements = await startServer(
		first.announcements,
		platform.createAnnouncementListener({
			announce,
			withdraw(id) {
				isSeekOver = true;
				gate.withdraw(id);
				members.withdraw(id);
			},
		}),
		{onAccepted: reportAccepted('announcements')},
	);
	const readiness = createReadiness({
		hasConfiguration: () => document.readDocument() !== undefined,
		hasJoined: members.isMember,
	});
	const readinessServer = await startServer(
		first.readiness,
		(_request, response) => {
			const state = readiness.read();
			sendJson(response, state === 'ready' ? 200 : 503, {state});
		},
		{onAccepted: reportAccepted('readiness')},
	);
	const metricsServer = await startServer(
		first.metrics,
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
		shouldStop: () => isSeekOver,
		probe: probeUpstream,
		onFound({id, load, report, ...found}) {
			logger.info('upstream found', {id, ...found});
			announce(id, {...found, team: '', state: 'ready'});
			gate.handleReport(id, report, load);
		},
	});
	logger.info('node started', {
		callers: first.callers,
		peers: first.peers,
		service: first.service,
	});

	return {
		reload(next) {
			settings = next;
			logger.info('settings reloaded', {service: next.service});
		},
		async stop() {
			const startedAt = performance.now();
			logger.info('node stopping', {graceMs: settings.graceMs});
			isSeekOver = true;
			const elapsedMs = (): number => performance.now() - startedAt;
			const lastMs = settings.graceMs - exitMarginMs;
			readiness.drain();
			caller.drain({
				servesUntil: startedAt + minDrainMs,
				endsAt: startedAt + lastMs,
			});
			peerServer.drain();
			await members.leave();
			const drained = gate.drain();
			await waitUntilIdle({
				readIdleMs: caller.readIdleMs,
				idleThresholdMs,
				minMs: minDrainMs,
				maxMs: lastMs - lastRequestsMs - elapsedMs(),
			});
			// Requests that come now could be cut by the end of the grace period.
			caller.refuseAll();
			await Promise.race([drained, waitMs(Math.max(0, lastMs - elapsedMs()))]);
			await waitUntilIdle({
				readIdleMs: () =>
					caller.readInFlight() === 0 ? Number.POSITIVE_INFINITY : 0,
				idleThresholdMs: 1,
				minMs: 0,
				maxMs: lastMs - elapsedMs(),
			});
			logger.info('node drained', {
				durationMs: Math.round(elapsedMs()),
				unanswered: caller.readInFlight(),
			});
			lagMeter.stop();
			document.stop();
			members.stop();
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
