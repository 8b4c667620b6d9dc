import {maxCallerInFlight} from '../protocol/constants.js';

/** Requests in flight at a caller's node when a request arrives. */
export type CallerAdmissionInput = {
	/** Requests in flight of all teams. */
	readonly inFlight: number;
	/** Requests in flight of the request's team. */
	readonly teamInFlight: number;
	/** Teams that have requests in flight, this one included. */
	readonly activeTeams: number;
	/** Maximum number of requests of the team in flight, by the route's policy. */
	readonly concurrency: number;
	/** Maximum number of requests in flight; `maxCallerInFlight` when absent. */
	readonly maxInFlight?: number;
};

/**
 * Decides whether a caller's node admits a request: a team may use its own limit,
 * but only up to an equal share while the node is full.
 *
 * @param input - see `CallerAdmissionInput`
 * @returns true when the request is admitted
 * @example
 * decideCallerAdmission({...input, teamInFlight: 64, concurrency: 64}); // false
 */
export function decideCallerAdmission(input: CallerAdmissionInput): boolean {
	const {inFlight, teamInFlight, activeTeams, concurrency} = input;
	const {maxInFlight = maxCallerInFlight} = input;
	if (teamInFlight >= concurrency) {
		return false;
	}

	return inFlight < maxInFlight || teamInFlight < maxInFlight / activeTeams;
}
