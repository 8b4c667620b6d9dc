import {SpanKind, SpanStatusCode, type HrTime} from '@opentelemetry/api';
import {ExportResultCode} from '@opentelemetry/core';
import type {ReadableSpan, SpanExporter} from '@opentelemetry/sdk-trace-base';

function formatTime([seconds, nanoseconds]: HrTime): string {
	return new Date(seconds * 1000 + nanoseconds / 1_000_000).toISOString();
}

function formatSpan(span: ReadableSpan): string {
	const {traceId, spanId} = span.spanContext();
	const [seconds, nanoseconds] = span.duration;
	return JSON.stringify({
		timestamp: formatTime(span.startTime),
		message: 'span',
		name: span.name,
		kind: SpanKind[span.kind].toLowerCase(),
		traceId,
		spanId,
		parentSpanId: span.parentSpanContext?.spanId,
		durationMs: seconds * 1000 + nanoseconds / 1_000_000,
		isError: span.status.code === SpanStatusCode.ERROR,
		...span.resource.attributes,
		...span.attributes,
	});
}

/**
 * Creates an exporter that writes each span as one JSON line.
 *
 * @param write - writes lines that end in a line feed
 * @returns the exporter
 */
export function createJsonLinesExporter(
	write: (lines: string) => void,
): SpanExporter {
	return {
		export(spans, onResult) {
			write(spans.map((span) => `${formatSpan(span)}\n`).join(''));
			onResult({code: ExportResultCode.SUCCESS});
		},
		async shutdown() {
			// Nothing is held back.
		},
	};
}
