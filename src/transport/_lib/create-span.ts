import {
	SpanKind,
	SpanStatusCode,
	type Attributes,
	type HrTime,
} from '@opentelemetry/api';
import {parseTraceParent} from '@opentelemetry/core';
import type {Resource} from '@opentelemetry/resources';
import type {ReadableSpan} from '@opentelemetry/sdk-trace-base';
import {isSampled} from '../../coordination/is-sampled.js';

/** Content of a span; times are as of `performance.now()`, in ms. */
export type SpanInput = {
	readonly name: string;
	readonly kind: 'server' | 'client';
	/** Trace context of this span. */
	readonly traceparent: string;
	readonly parentTraceparent: string | undefined;
	readonly startedAtMs: number;
	readonly durationMs: number;
	readonly isError: boolean;
	readonly attributes: Attributes;
	readonly resource: Resource;
	/** Wall-clock time at which `performance.now()` was 0, ms. */
	readonly timeOriginMs: number;
};

const kinds = {server: SpanKind.SERVER, client: SpanKind.CLIENT} as const;
const msPerSecond = 1000;
const nsPerMs = 1_000_000;

function createHrTime(ms: number): HrTime {
	const seconds = Math.floor(ms / msPerSecond);
	return [seconds, Math.round((ms - seconds * msPerSecond) * nsPerMs)];
}

/**
 * Creates a finished span from an event that a task has reported.
 *
 * @param input - see `SpanInput`
 * @returns the span, or undefined if its trace is not sampled
 */
export function createSpan(input: SpanInput): ReadableSpan | undefined {
	const context = parseTraceParent(input.traceparent);
	if (!context || !isSampled(context)) {
		return undefined;
	}

	const parent =
		input.parentTraceparent === undefined
			? undefined
			: parseTraceParent(input.parentTraceparent);
	const startMs = input.timeOriginMs + input.startedAtMs;
	return {
		name: input.name,
		kind: kinds[input.kind],
		spanContext: () => context,
		parentSpanContext: parent ?? undefined,
		startTime: createHrTime(startMs),
		endTime: createHrTime(startMs + input.durationMs),
		duration: createHrTime(input.durationMs),
		status: {
			code: input.isError ? SpanStatusCode.ERROR : SpanStatusCode.UNSET,
		},
		attributes: input.attributes,
		links: [],
		events: [],
		ended: true,
		resource: input.resource,
		instrumentationScope: {name: 'boragehitch'},
		droppedAttributesCount: 0,
		droppedEventsCount: 0,
		droppedLinksCount: 0,
	};
}
