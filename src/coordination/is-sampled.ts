import type {SpanContext} from '@opentelemetry/api';

/**
 * Tells whether a trace is sampled: the lowest bit of the trace flags.
 *
 * @param context - a parsed trace context
 * @returns true when spans of the trace are recorded
 * @example
 * isSampled({traceId, spanId, traceFlags: 1}); // true
 */
export function isSampled(context: SpanContext): boolean {
	return context.traceFlags % 2 === 1;
}
