import process from 'node:process';
import {Counter, Gauge, Registry} from 'prom-client';
import type {RequestObserver} from '../protocol/observer.js';
import {meshMetricNames} from '../protocol/metric-names.js';
import type {ByteCount} from './_lib/create-byte-counter.js';
import {createDurationHistogram} from './_lib/create-duration-histogram.js';
import {createOutcomeCounter} from './_lib/create-outcome-counter.js';

/** Values of the gauges, read when the metrics are scraped. */
export type MeshGauges = {
	/** Version of the configuration; -1 when there is none. */
	readonly version: number;
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
};

/** Options of `createMeshMetrics`. */
export type MeshMetricsOptions = {
	readonly readGauges: () => MeshGauges;
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

/**
 * Creates the metrics of a node.
 *
 * @param options - see `MeshMetricsOptions`
 * @returns the metrics
 * @example
 * await createMeshMetrics({readGauges}).formatText();
 */
export function createMeshMetrics(options: MeshMetricsOptions): MeshMetrics {
	const {readGauges, takeBytes = () => []} = options;
	const registry = new Registry();
	const registers = [registry];
	const labelNames = ['service', 'outcome', 'reason'] as const;
	const requests = createOutcomeCounter(
		new Counter({
			name: meshMetricNames.requests,
			help: 'Requests of callers that were ended',
			labelNames,
			registers,
		}),
	);
	const requestMs = createDurationHistogram({
		name: meshMetricNames.requestMs,
		help: 'Time from a request to its answer, ms',
		labelName: 'service',
		buckets: bucketsMs,
	});
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
	const memory = new Gauge({
		name: meshMetricNames.memory,
		help: 'Resident memory, bytes',
		registers,
	});
	const controlBytes = new Counter({
		name: meshMetricNames.controlBytes,
		help: 'Bytes on sockets for control',
		labelNames: ['purpose', 'direction'],
		registers,
	});

	return {
		contentType: registry.contentType,
		recordAcceptWait(server, waitMs) {
			acceptMs.observe(server, waitMs);
		},
		async formatText() {
			const gauges = readGauges();
			version.set(gauges.version);
			unreadableParts.set(gauges.unreadableParts);
			members.set(gauges.members);
			inFlight.set(gauges.inFlight);
			rateLimit.set(gauges.rateLimit);
			quarantined.set(gauges.quarantined);
			memory.set(process.memoryUsage.rss());
			for (const {purpose, sent, received} of takeBytes()) {
				controlBytes.inc({purpose, direction: 'sent'}, sent);
				controlBytes.inc({purpose, direction: 'received'}, received);
			}

			for (const outcomes of [requests, attempts, gateAttempts]) {
				outcomes.report();
			}

			const histograms = [requestMs, queuedMs, acceptMs, sendWaitMs];
			const texts = histograms.map((histogram) => histogram.formatText());
			const text = await registry.metrics();
			return [text.trimEnd(), ...texts, ''].join('\n\n');
		},
		observer: {
			onRequest({service, outcome, reason, durationMs}) {
				requests.count(service, outcome, reason);
				requestMs.observe(service, durationMs);
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
