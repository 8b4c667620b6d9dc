import type {GateLoad} from '../../protocol/attempt.js';

/**
 * Formats a gate's load for the load header.
 *
 * @param load - the load
 * @returns `inFlight/queued/slots`
 */
export function formatLoad(load: GateLoad): string {
	const {inFlight, queued, slots, serviceMs, routeMs = serviceMs} = load;
	const text = `${inFlight}/${queued}/${slots}`;
	return serviceMs === undefined || routeMs === undefined
		? text
		: `${text}/${Math.round(serviceMs)}/${Math.round(routeMs)}`;
}
