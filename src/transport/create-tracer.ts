import process from 'node:process';
import {ExportResultCode} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	BatchSpanProcessor,
	type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import {createTraceparent} from '../coordination/create-traceparent.js';
import {
	traceExportIntervalMs,
	traceExportTimeoutMs,
	traceQueueSpans,
} from '../protocol/constants.js';
import type {
	AttemptEvent,
	GateEvent,
	RequestEvent,
	RequestObserver,
} from '../protocol/observer.js';
import type {Settings} from '../protocol/settings.js';
import {attributeNames} from './_lib/attribute-names.js';
import {createJsonLinesExporter} from './_lib/create-json-lines-exporter.js';
import {createSpan, type SpanInput} from './_lib/create-span.js';
import type {Logger} from './create-logger.js';

/** Options of `createTracer`. */
export type TracerOptions = {
	readonly trace: Settings['trace'];
	readonly name: string;
	readonly dataCentre: string;
	readonly logger: Logger;
	readonly random?: () => number;
	/** Writes JSON lines if spans are exported to the log; to standard error by default. */
	readonly write?: (lines: string) => void;
};

/** Creates spans from the events that tasks report, and exports them in batches. */
export type Tracer = {
	readonly observer: RequestObserver;
	/** Exports the queued spans and stops. */
	stop(): Promise<void>;
};

type HopEvent = RequestEvent | AttemptEvent | GateEvent;

function createExporter(options: TracerOptions): SpanExporter {
	const {trace, logger} = options;
	const {
		write = (lines: string) => {
			process.stderr.write(lines);
		},
	} = options;
	if (trace.export !== 'otlp') {
		return createJsonLinesExporter(write);
	}

	const exporter = new OTLPTraceExporter({
		url: trace.url,
		timeoutMillis: traceExportTimeoutMs,
	});
	return {
		export(spans, onResult) {
			exporter.export(spans, (result) => {
				if (result.code === ExportResultCode.FAILED) {
					logger.warn('spans not exported', {
						spans: spans.length,
						error: String(result.error),
					});
				}

				// The failure has been logged; the processor would throw on it.
				onResult({code: ExportResultCode.SUCCESS});
			});
		},
		shutdown: async () => exporter.shutdown(),
	};
}

function isTraceparentSampled(traceparent: string | undefined): boolean {
	return traceparent?.endsWith('1') ?? false;
}

function hasReachedUpstream(event: GateEvent): boolean {
	return event.outcome !== 'not-run' || event.reason === 'shed';
}

/**
 * Creates the tracer of a node.
 *
 * A request has one span at the caller's node, one for each attempt, one at the
 * gate, and one for the upstream call. Spans are created from events after the
 * hop has ended, queued in bounded memory, and exported in batches.
 *
 * @param options - see `TracerOptions`
 * @returns the tracer; its observer is empty if export is disabled
 * @example
 * createTracer({trace: settings.trace, name, dataCentre, logger}).observer;
 */
export function createTracer(options: TracerOptions): Tracer {
	const {trace, name, dataCentre, logger, random = Math.random} = options;
	if (trace.export === 'none') {
		return {
			observer: {},
			async stop() {
				// Nothing was started.
			},
		};
	}

	const processor = new BatchSpanProcessor(createExporter(options), {
		maxQueueSize: traceQueueSpans,
		maxExportBatchSize: traceQueueSpans / 4,
		scheduledDelayMillis: traceExportIntervalMs,
		exportTimeoutMillis: traceExportTimeoutMs,
	});
	const resource = resourceFromAttributes({
		[attributeNames.serviceName]: 'boragehitch',
		[attributeNames.instance]: name,
		[attributeNames.dataCentre]: dataCentre,
	});
	const {sampleRatio} = trace;

	function record(
		event: HopEvent,
		input: Pick<SpanInput, 'name' | 'kind'> & Partial<SpanInput>,
	): void {
		const {outcome, status, traceparent = ''} = event;
		const span = createSpan({
			traceparent,
			parentTraceparent: event.parentTraceparent,
			startedAtMs: event.startedAtMs,
			durationMs: event.durationMs,
			isError: outcome !== 'answered' || status >= 500,
			resource,
			timeOriginMs: performance.timeOrigin,
			...input,
			attributes: {
				[attributeNames.requestId]: event.requestId,
				[attributeNames.team]: event.team,
				[attributeNames.service]: event.service,
				[attributeNames.outcome]: outcome,
				...(event.reason && {[attributeNames.reason]: event.reason}),
				...(status > 0 && {[attributeNames.status]: status}),
				...input.attributes,
			},
		});
		if (span) {
			processor.onEnd(span);
		}
	}

	function recordGate(event: GateEvent): void {
		if (!isTraceparentSampled(event.traceparent)) {
			return;
		}

		const {queuedMs, traceparent, parentTraceparent} = event;
		const attributes = {
			[attributeNames.attemptId]: event.attemptId,
			[attributeNames.queuedMs]: queuedMs,
		};
		if (!hasReachedUpstream(event)) {
			record(event, {name: 'gate', kind: 'server', attributes});
			return;
		}

		const gateTraceparent = createTraceparent(parentTraceparent, {
			sampleRatio,
			random,
		});
		record(event, {
			name: 'gate',
			kind: 'server',
			traceparent: gateTraceparent,
			attributes,
		});
		record(event, {
			name: 'upstream',
			kind: 'client',
			traceparent,
			parentTraceparent: gateTraceparent,
			startedAtMs: event.startedAtMs + queuedMs,
			durationMs: Math.max(0, event.durationMs - queuedMs),
		});
	}

	return {
		observer: {
			createTraceparent: (parent) =>
				createTraceparent(parent, {sampleRatio, random}),
			onRequest(event) {
				if (!isTraceparentSampled(event.traceparent)) {
					return;
				}

				const attributes = {
					[attributeNames.route]: event.route,
					[attributeNames.attempts]: event.attempts,
					[attributeNames.method]: event.method,
				};
				record(event, {name: 'request', kind: 'server', attributes});
			},
			onAttempt(event) {
				if (!isTraceparentSampled(event.traceparent)) {
					return;
				}

				const attributes = {
					[attributeNames.attemptId]: event.attemptId,
					[attributeNames.host]: event.host,
				};
				record(event, {name: 'attempt', kind: 'client', attributes});
			},
			onGate: recordGate,
		},
		async stop() {
			try {
				await processor.shutdown();
			} catch (error) {
				logger.warn('spans not exported', {error: String(error)});
			}
		},
	};
}
