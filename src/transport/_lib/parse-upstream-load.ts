import type {GateLoad} from '../../protocol/attempt.js';

/** Three counts below a million, as between nodes; larger values are treated as errors. */
const loadPattern = /^\s*(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})\s*(?:,|$)/v;

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
	const match = typeof value === 'string' ? loadPattern.exec(value) : undefined;
	const slots = Number(match?.[3]);
	return match && slots > 0
		? {inFlight: Number(match[1]), queued: Number(match[2]), slots}
		: undefined;
}
