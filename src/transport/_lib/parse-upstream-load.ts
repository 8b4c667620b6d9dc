import type {GateLoad} from '../../protocol/attempt.js';

/**
 * Parses the load that an upstream states in a header: its running and its
 * waiting requests and its slots, separated by commas.
 *
 * @param value - header value; several values are not a load
 * @returns the load; undefined when the value is none
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
