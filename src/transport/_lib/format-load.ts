import type {GateLoad} from '../../protocol/attempt.js';

/**
 * Formats a gate's load for the load header.
 *
 * @param load - the load
 * @returns `inFlight/queued/slots`
 */
export function formatLoad(load: GateLoad): string {
	return `${load.inFlight}/${load.queued}/${load.slots}`;
}
