import type {GateLoad} from '../../protocol/attempt.js';

/** Three counts below a million, as between nodes, and a percentage; larger values are treated as errors. */
const loadPattern =
	/^\s*(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})\s*(?:,\s*(\d{0,6})\s*(?:,|$)|,|$)/v;

const percent = 100;

/**
 * Parses the load that an upstream states in a header: the numbers of its
 * running requests, queued requests and slots, and the time that work takes on
 * its host as a percentage of the usual time if it is known, separated by commas.
 *
 * @param value - header value; multiple values are invalid
 * @returns the load; undefined if the value is missing or invalid
 */
export function parseUpstreamLoad(
	value: string | string[] | undefined,
): GateLoad | undefined {
	const match = typeof value === 'string' ? loadPattern.exec(value) : undefined;
	const slots = Number(match?.[3]);
	const workRatio = Number(match?.[4]) / percent;
	return match && slots > 0
		? {
				inFlight: Number(match[1]),
				queued: Number(match[2]),
				slots,
				...(workRatio > 0 && {workRatio}),
			}
		: undefined;
}
