import type {GateLoad} from '../../protocol/attempt.js';

/** Counts below a million, as between nodes; larger values are treated as errors. */
const countPattern = /^\d{1,6}$/v;

/**
 * Parses the load that an upstream states in a header: the numbers of its
 * running requests, queued requests and slots, separated by commas.
 *
 * @param value - header value; multiple values are invalid
 * @returns the load; undefined if the value is missing or invalid
 */
export function parseUpstreamLoad(
	value: string | string[] | undefined,
): GateLoad | undefined {
	const parts = typeof value === 'string' ? value.split(',') : [];
	const [inFlight, queued, slots] = parts.map((part) =>
		countPattern.test(part.trim()) ? Number(part) : undefined,
	);
	return inFlight !== undefined &&
		queued !== undefined &&
		slots !== undefined &&
		slots > 0
		? {inFlight, queued, slots}
		: undefined;
}
