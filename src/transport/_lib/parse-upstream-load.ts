import type {GateLoad} from '../../protocol/attempt.js';

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
	const parts = typeof value === 'string' ? value.split(',').map(Number) : [];
	const [inFlight, queued, slots] = parts;
	return inFlight !== undefined &&
		queued !== undefined &&
		slots !== undefined &&
		inFlight >= 0 &&
		queued >= 0 &&
		slots > 0
		? {inFlight, queued, slots}
		: undefined;
}
