import {parseTraceParent} from '@opentelemetry/core';
import {isSampled} from './is-sampled.js';

/** Options of `createTraceparent`. */
export type TraceparentOptions = {
	/** Share of new traces that are sampled, 0 to 1. */
	readonly sampleRatio: number;
	/** Source of random numbers in [0, 1). */
	readonly random: () => number;
};

const maxWord = 2 ** 32;
const zeroWord = '00000000';

function createWord(random: () => number): string {
	return Math.floor(random() * maxWord)
		.toString(16)
		.padStart(8, '0');
}

/** Creates an identifier of 8-digit words; the last word is never zero, because an all-zero identifier is invalid. */
function createId(words: number, random: () => number): string {
	let id = '';
	for (let word = 1; word < words; word++) {
		id += createWord(random);
	}

	const last = createWord(random);
	return id + (last === zeroWord ? '00000001' : last);
}

/**
 * Creates the trace context of a hop as a W3C Trace Context `traceparent`.
 *
 * A valid parent determines the trace and its sampling decision; without one a
 * new trace is started and sampled at random.
 *
 * @param parent - the incoming `traceparent`, if any
 * @param options - see `TraceparentOptions`
 * @returns the `traceparent` to forward
 * @example
 * createTraceparent(undefined, {sampleRatio: 0, random: Math.random});
 */
export function createTraceparent(
	parent: string | undefined,
	options: TraceparentOptions,
): string {
	const {sampleRatio, random} = options;
	const context = parent === undefined ? undefined : parseTraceParent(parent);
	const traceId = context?.traceId ?? createId(4, random);
	const shouldRecord = context ? isSampled(context) : random() < sampleRatio;
	return `00-${traceId}-${createId(2, random)}-${shouldRecord ? '01' : '00'}`;
}
