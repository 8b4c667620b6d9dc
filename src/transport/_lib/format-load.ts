import type {GateLoad} from '../../protocol/attempt.js';

/**
 * Formats a gate's load as the value of the load header.
 *
 * @param load - the load
 * @returns `inFlight/queued/slots`, followed by `/serviceMs/routeMs` if known
 */
export function formatLoad(load: GateLoad): string {
	const {inFlight, queued, slots, serviceMs, routeMs = serviceMs} = load;
	const text = `${inFlight}/${queued}/${slots}`;
	return serviceMs === undefined || routeMs === undefined
		? text
		: `${text}/${Math.round(serviceMs)}/${Math.round(routeMs)}`;
}
