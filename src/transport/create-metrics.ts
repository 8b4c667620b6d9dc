import {StatsD} from 'hot-shots';
import {
	metricsFlushMs,
	metricsIntervalMs,
	metricsPacketBytes,
} from '../protocol/constants.js';
import type {MetricName} from '../protocol/metric-names.js';
import type {AttemptEvent, RequestObserver} from '../protocol/observer.js';
import type {Settings} from '../protocol/settings.js';
import type {ByteCount} from './_lib/create-byte-counter.js';
import {createCounters, type Tags} from './_lib/create-counters.js';
import type {Logger} from './create-logger.js';

/** Value of a gauge at the time of reading. */
export type GaugeReading = {
	readonly name: MetricName;
	readonly value: number;
	readonly tags?: Tags;
};

/** Options of `createMetrics`. */
export type MetricsOptions = {
	/** StatsD receiver, `IP:PORT`, and sampling ratio of timings; without a receiver, no metrics are sent. */
	readonly metrics: Settings['metrics'];
	readonly name: string;
	readonly dataCentre: string;
	readonly logger: Logger;
	/** Reads the gauges; called once per interval. */
	readonly readGauges?: () => readonly GaugeReading[];
	/** Returns the control bytes since the last call; called once per interval. */
	readonly takeBytes?: () => readonly ByteCount[];
	/** Interval at which the gauges are read, ms. */
	readonly intervalMs?: number;
};

/** Sends counters, timings and gauges to a StatsD receiver. */
export type Metrics = {
	readonly observer: RequestObserver;
	/** Sends the pending metrics and stops. */
	stop(): Promise<void>;
};

const maxTrackedRequests = 10_000;

/**
 * Creates sums of the durations of attempts, by request.
 *
 * @returns functions that add an attempt, and that remove and return the sum of
 * a request in ms
 */
function createAttemptTimes() {
	const times = new Map<string, number>();
	return {
		add({requestId, durationMs}: AttemptEvent) {
			if (times.size < maxTrackedRequests || times.has(requestId)) {
				times.set(requestId, (times.get(requestId) ?? 0) + durationMs);
			}
		},
		take(requestId: string): number | undefined {
			const time = times.get(requestId);
			times.delete(requestId);
			return time;
		},
	};
}

/**
 * Creates the metrics of a node, sent with hot-shots; see docs/METRICS.md.
 *
 * To keep the cost per request low, counters are aggregated and sent once a
 * second, timings are sampled, and lines are batched into packets.
 *
 * @param options - see `MetricsOptions`
 * @returns the metrics; a no-op without a receiver
 * @example
 * createMetrics({metrics: settings.metrics, name, dataCentre, logger}).observer;
 */
export function createMetrics(options: MetricsOptions): Metrics {
	const {metrics, name, dataCentre, logger, readGauges = () => []} = options;
	const {statsd, sampleRatio} = metrics;
	const {intervalMs = metricsIntervalMs, takeBytes = () => []} = options;
	if (statsd === undefined) {
		return {
			observer: {},
			async stop() {
				// Nothing was started.
			},
		};
	}

	const [host, port] = statsd.split(':');
	const client = new StatsD({
		host,
		port: Number(port),
		prefix: 'boragehitch.',
		globalTags: {node: name, dataCentre},
		maxBufferSize: metricsPacketBytes,
		bufferFlushInterval: metricsFlushMs,
		errorHandler(error) {
			logger.debug('metrics not sent', {error: String(error)});
		},
	});
	const attemptTimes = createAttemptTimes();

	const counters = createCounters<MetricName>();

	function sendTiming(metric: MetricName, ms: number, team: string): void {
		client.timing(metric, ms, sampleRatio, {team});
	}

	function sendCounters(): void {
		for (const {name: metric, value, tags} of counters.take()) {
			client.increment(metric, value, {...tags});
		}
	}

	const flushTimer = setInterval(sendCounters, metricsFlushMs);

	const gaugeTimer = setInterval(() => {
		for (const {name: metric, value, tags} of readGauges()) {
			client.gauge(metric, value, {...tags});
		}

		for (const {purpose, sent, received} of takeBytes()) {
			counters.add('control.bytes_sent', sent, {purpose});
			counters.add('control.bytes_received', received, {purpose});
		}
	}, intervalMs);

	return {
		observer: {
			onRequest(event) {
				const {team, outcome, reason = 'none', durationMs} = event;
				counters.add('requests', 1, {team, outcome, reason});
				sendTiming('request.duration_ms', durationMs, team);
				const attemptsMs = attemptTimes.take(event.requestId);
				if (attemptsMs !== undefined) {
					sendTiming(
						'request.added_ms',
						Math.max(0, durationMs - attemptsMs),
						team,
					);
				}
			},
			onAttempt(event) {
				const {team, outcome, reason = 'none'} = event;
				counters.add('attempts', 1, {team, outcome, reason});
				sendTiming('attempt.duration_ms', event.durationMs, team);
				attemptTimes.add(event);
			},
			onGate(event) {
				const {team, outcome, reason = 'none'} = event;
				counters.add('gate.attempts', 1, {team, outcome, reason});
				sendTiming('gate.duration_ms', event.durationMs, team);
				sendTiming('gate.queued_ms', event.queuedMs, team);
			},
		},
		async stop() {
			clearInterval(gaugeTimer);
			clearInterval(flushTimer);
			sendCounters();
			await new Promise<void>((resolve) => {
				client.close(() => {
					resolve();
				});
			});
		},
	};
}
