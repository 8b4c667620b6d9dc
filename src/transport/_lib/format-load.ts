import type {GateLoad} from '../../protocol/attempt.js';

/**
 * Formats a gate's load for the load header.
 *
 * @param load - the load
 * @returns `inFlight/queued/slots`
 */
export function formatLoad(load: GateLoad): string {
	const {inFlight, queued, slots, serviceMs} = load;
	const text = `${inFlight}/${queued}/${slots}`;
	return serviceMs === undefined ? text : `${text}/${Math.round(serviceMs)}`;
}
