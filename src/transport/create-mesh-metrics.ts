import process from 'node:process';
import {Counter, Gauge, Registry} from 'prom-client';
import type {QuotaCounts} from '../coordination/quotas/quota-state.js';
import {msPerSecond} from '../protocol/constants.js';
import type {RefusalEvent, RequestObserver} from '../protocol/observer.js';
import {meshMetricNames} from '../protocol/metric-names.js';
import type {
	ChoiceCount,
	RolloutGauge,
	RunningVersion,
	VersionCount,
} from '../protocol/rollout.js';
import type {ByteCount} from './_lib/create-byte-counter.js';
import {createDurationHistogram} from './_lib/create-duration-histogram.js';
import {createLabelLimit} from './_lib/create-label-limit.js';
import {createOutcomeCounter} from './_lib/create-outcome-counter.js';
import {createRefusalCounter} from './_lib/create-refusal-counter.js';
import {readProcessorUse} from './_lib/read-processor-use.js';

/** Values of the gauges, read when the metrics are scraped. */
export type MeshGauges = {
	/** Version of the configuration; -1 when there is none. */
	readonly version: number;
	/** Age of the proof that the configuration is the newest, ms; infinity without a proof. */
	readonly proofAgeMs: number;
	/** Number of parts of the configuration that the node can't read. */
	readonly unreadableParts: number;
	/** Number of members that are alive. */
	readonly members: number;
	/** Number of callers' requests in flight. */
	readonly inFlight: number;
	/** Rate limit that the upstream on the host reports, requests per second; -1 when it reports none. */
	readonly rateLimit: number;
	/** Number of requests that are not sent because they crash their upstreams. */
	readonly quarantined: number;
	/** Event loop lag, ms. */
	readonly lagMs: number;
	/** Roll-outs that the node knows; none when absent. */
	readonly rollouts?: readonly RolloutGauge[] | undefined;
	/** Running version of each service; none when absent. */
	readonly runningVersions?: readonly RunningVersion[] | undefined;
	/** Versions chosen for requests; none when absent. */
	readonly versionChoices?: readonly ChoiceCount[] | undefined;
	/** Responses of upstreams on the host during roll-outs; none when absent. */
	readonly versionCounts?: readonly VersionCount[] | undefined;
};

/** Options of `createMeshMetrics`. */
export type MeshMetricsOptions = {
	readonly readGauges: () => MeshGauges;
	/** Returns what the quotas of tenants have counted since the start; absent without quotas. */
	readonly readQuota?: (() => QuotaCounts) | undefined;
	/** Returns the bytes sent and received on control connections since the last call. */
	readonly takeBytes?: () => readonly ByteCount[];
};

/** Metrics of a node in the Prometheus text format. */
export type MeshMetrics = {
	readonly observer: RequestObserver;
	/** Content type of the text. */
	readonly contentType: string;
	/** Records how long a batch of connections to one of the node's servers waited to be accepted, ms. */
	recordAcceptWait(server: string, waitMs: number): void;
	/** Returns all metrics in the Prometheus text format. */
	formatText(): Promise<string>;
};

/** Upper bounds of the histogram buckets, ms; they range from the latency of one hop to a deadline. */
const bucketsMs = [2, 5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200];

/** Number of tenants that are counted by name; each takes a few lines of the text. */
const maxNamedTenants = 256;

/** Formats whether a client had sent a request before as the value of a label. */
function formatReturned(
	isReturned: boolean | undefined,
): 'yes' | 'no' | 'unknown' {
	if (isReturned === undefined) {
		return 'unknown';
	}

	return isReturned ? 'yes' : 'no';
}

/** Formats a refusal as labels. */
function formatRefusalLabels(event: RefusalEvent): Record<string, string> {
	const {place, route = 'none', reason, isReturned, hasFreeSlot} = event;
	const freeSlot = hasFreeSlot ? 'free' : 'full';
	return {
		place,
		route,
		reason,
		returned: formatReturned(isReturned),
		slot: hasFreeSlot === undefined ? 'unknown' : freeSlot,
	};
}

/**
 * Creates the metrics of a node.
 *
 * @param options - see `MeshMetricsOptions`
 * @returns the metrics
 * @example
 * await createMeshMetrics({readGauges}).formatText();
 */
export function createMeshMetrics(options: MeshMetricsOptions): MeshMetrics {
	const {readGauges, readQuota, takeBytes = () => []} = options;
	const registry = new Registry();
	const registers = [registry];
	const labelNames = ['service', 'outcome', 'reason'] as const;
	const requestCounter = new Counter({
		name: meshMetricNames.requests,
		help: 'Requests of callers that were ended',
		labelNames: [...labelNames, 'returned'],
		registers,
	});
	const requests = {
		yes: createOutcomeCounter(requestCounter, {returned: 'yes'}),
		no: createOutcomeCounter(requestCounter, {returned: 'no'}),
		unknown: createOutcomeCounter(requestCounter, {returned: 'unknown'}),
	};
	const tenantRequests = createOutcomeCounter(
		new Counter({
			name: meshMetricNames.tenantRequests,
			help: 'Requests with the API key of a tenant that were ended or refused',
			labelNames: ['tenant', 'outcome', 'reason'],
			registers,
		}),
		{},
		'tenant',
	);
	const limitTenant = createLabelLimit(maxNamedTenants);
	const requestMs = createDurationHistogram({
		name: meshMetricNames.requestMs,
		help: 'Time from a request to its answer, ms',
		labelName: 'service',
		buckets: bucketsMs,
	});
	const refusals = new Counter({
		name: meshMetricNames.refusals,
		help: 'Requests and attempts that were refused before they were admitted',
		labelNames: ['place', 'route', 'reason', 'returned', 'slot'],
		registers,
	});
	const refusalCounter = createRefusalCounter();
	const attempts = createOutcomeCounter(
		new Counter({
			name: meshMetricNames.attempts,
			help: 'Attempts at hosts that were ended',
			labelNames,
			registers,
		}),
	);
	const gateAttempts = createOutcomeCounter(
		new Counter({
			name: meshMetricNames.gateAttempts,
			help: 'Attempts that the gate had admitted and that were ended',
			labelNames,
			registers,
		}),
	);
	const queuedMs = createDurationHistogram({
		name: meshMetricNames.queuedMs,
		help: 'Time that an attempt waited for a slot, ms',
		labelName: 'service',
		buckets: bucketsMs,
	});
	const acceptMs = createDurationHistogram({
		name: meshMetricNames.acceptMs,
		help: 'Time that connections waited to be accepted, ms',
		labelName: 'server',
		buckets: bucketsMs,
	});
	const sendWaitMs = createDurationHistogram({
		name: meshMetricNames.sendWaitMs,
		help: 'Time that an attempt waited for a connection, ms',
		labelName: 'receiver',
		buckets: bucketsMs,
	});
	const upstreamCrashes = new Counter({
		name: meshMetricNames.upstreamCrashes,
		help: 'Crashes of upstreams on the host while they ran requests',
		labelNames: ['service'],
		registers,
	});
	const version = new Gauge({
		name: meshMetricNames.version,
		help: 'Version of the configuration that the node runs',
		registers,
	});
	const proofAge = new Gauge({
		name: meshMetricNames.proofAgeMs,
		help: 'Age of the proof that the configuration is the newest, ms; -1 without a proof',
		registers,
	});
	const unreadableParts = new Gauge({
		name: meshMetricNames.unreadableParts,
		help: 'Parts of the configuration that the node cannot read',
		registers,
	});
	const members = new Gauge({
		name: meshMetricNames.members,
		help: 'Nodes that the node believes to be alive',
		registers,
	});
	const inFlight = new Gauge({
		name: meshMetricNames.inFlight,
		help: 'Requests of callers in flight',
		registers,
	});
	const rateLimit = new Gauge({
		name: meshMetricNames.rateLimit,
		help: 'Requests a second that the upstream on the host takes, by its own account; -1 when it names no limit',
		registers,
	});
	const quarantined = new Gauge({
		name: meshMetricNames.quarantined,
		help: 'Requests that are not sent because they crash their upstreams',
		registers,
	});
	const quotaTokens = new Counter({
		name: meshMetricNames.quotaTokens,
		help: 'Tokens of quotas: asks for some, tokens granted, given back, and admitted by the own share',
		labelNames: ['kind'],
		registers,
	});
	const rolloutRunning = new Gauge({
		name: meshMetricNames.rolloutRunning,
		help: 'Version of a service that runs without an order, and how that is known',
		labelNames: ['service', 'version', 'basis'],
		registers,
	});
	const rolloutChoices = new Counter({
		name: meshMetricNames.rolloutChoices,
		help: 'Requests of callers by the version that was chosen for them',
		labelNames: ['service', 'version', 'reason'],
		registers,
	});
	const rolloutShare = new Gauge({
		name: meshMetricNames.rolloutShare,
		help: 'Share of the requests that go to the target version of a roll-out',
		labelNames: ['service', 'version', 'state'],
		registers,
	});
	const rolloutResponses = new Gauge({
		name: meshMetricNames.rolloutResponses,
		help: 'Responses of upstreams on the host during the current roll-outs',
		labelNames: ['service', 'version', 'route', 'result'],
		registers,
	});
	const memory = new Gauge({
		name: meshMetricNames.memory,
		help: 'Resident memory, bytes',
		registers,
	});
	const processorSeconds = new Counter({
		name: meshMetricNames.processorSeconds,
		help: 'Processor time of the process, s',
		labelNames: ['mode'],
		registers,
	});
	const eventLoopSeconds = new Counter({
		name: meshMetricNames.eventLoopSeconds,
		help: 'Time in which the event loop was not waiting, s',
		registers,
	});
	const eventLoopLag = new Gauge({
		name: meshMetricNames.eventLoopLagMs,
		help: 'Event loop lag, ms',
		registers,
	});
	const controlBytes = new Counter({
		name: meshMetricNames.controlBytes,
		help: 'Bytes on sockets for control',
		labelNames: ['purpose', 'direction'],
		registers,
	});

	function updateQuotaTokens({
		asked,
		granted,
		returned,
		ownShare,
	}: QuotaCounts): void {
		quotaTokens.reset();
		quotaTokens.inc({kind: 'asked'}, asked);
		quotaTokens.inc({kind: 'granted'}, granted);
		quotaTokens.inc({kind: 'returned'}, returned);
		quotaTokens.inc({kind: 'own-share'}, ownShare);
	}

	/** Sets the counters of processor time to what the process has used. */
	function updateProcessorUse(): void {
		const {userMs, systemMs, busyMs} = readProcessorUse();
		processorSeconds.reset();
		processorSeconds.inc({mode: 'user'}, userMs / msPerSecond);
		processorSeconds.inc({mode: 'system'}, systemMs / msPerSecond);
		eventLoopSeconds.reset();
		eventLoopSeconds.inc(busyMs / msPerSecond);
	}

	return {
		contentType: registry.contentType,
		recordAcceptWait(server, waitMs) {
			acceptMs.observe(server, waitMs);
		},
		async formatText() {
			const gauges = readGauges();
			version.set(gauges.version);
			const {proofAgeMs} = gauges;
			proofAge.set(Number.isFinite(proofAgeMs) ? proofAgeMs : -1);
			unreadableParts.set(gauges.unreadableParts);
			members.set(gauges.members);
			inFlight.set(gauges.inFlight);
			rateLimit.set(gauges.rateLimit);
			quarantined.set(gauges.quarantined);
			rolloutShare.reset();
			for (const {service, target, state, share} of gauges.rollouts ?? []) {
				rolloutShare.set({service, version: target, state}, share);
			}

			rolloutRunning.reset();
			for (const {service, version, basis} of gauges.runningVersions ?? []) {
				rolloutRunning.set({service, version, basis}, 1);
			}

			rolloutChoices.reset();
			for (const {count, ...chosen} of gauges.versionChoices ?? []) {
				rolloutChoices.inc(chosen, count);
			}

			rolloutResponses.reset();
			for (const count of gauges.versionCounts ?? []) {
				const {service, version, route, failures} = count;
				const labels = {service, version, route};
				rolloutResponses.set({...labels, result: 'failed'}, failures);
				const good = count.responses - failures;
				rolloutResponses.set({...labels, result: 'good'}, good);
			}

			memory.set(process.memoryUsage.rss());
			eventLoopLag.set(gauges.lagMs);
			updateProcessorUse();
			if (readQuota) {
				updateQuotaTokens(readQuota());
			}

			for (const {count, ...refusal} of refusalCounter.take()) {
				refusals.inc(formatRefusalLabels(refusal), count);
			}

			for (const {purpose, sent, received} of takeBytes()) {
				controlBytes.inc({purpose, direction: 'sent'}, sent);
				controlBytes.inc({purpose, direction: 'received'}, received);
			}

			for (const outcomes of [
				...Object.values(requests),
				tenantRequests,
				attempts,
				gateAttempts,
			]) {
				outcomes.report();
			}

			const histograms = [requestMs, queuedMs, acceptMs, sendWaitMs];
			const texts = histograms.map((histogram) => histogram.formatText());
			const text = await registry.metrics();
			return [text.trimEnd(), ...texts, ''].join('\n\n');
		},
		observer: {
			onRequest(event) {
				const {service, isReturned, tenant} = event;
				requests[formatReturned(isReturned)].count(
					service,
					event.outcome,
					event.reason,
				);
				requestMs.observe(service, event.durationMs);
				if (tenant !== undefined) {
					const {outcome, reason} = event;
					tenantRequests.count(limitTenant(tenant), outcome, reason);
				}
			},
			onRefusal(event) {
				const {tenant, reason} = event;
				refusalCounter.record(event);
				if (tenant !== undefined) {
					tenantRequests.count(limitTenant(tenant), 'not-run', reason);
				}
			},
			onAttempt(event) {
				attempts.count(event.service, event.outcome, event.reason);
				if (event.sendWaitMs !== undefined) {
					sendWaitMs.observe('gate', event.sendWaitMs);
				}
			},
			onCrash({service}) {
				upstreamCrashes.inc({service});
			},
			onGate(event) {
				const {service} = event;
				gateAttempts.count(service, event.outcome, event.reason);
				queuedMs.observe(service, event.queuedMs);
				if (event.sendWaitMs !== undefined) {
					sendWaitMs.observe('upstream', event.sendWaitMs);
				}
			},
		},
	};
}
