import {maxCallerInFlight} from '../protocol/constants.js';

/** What a caller's node knows when a request arrives. */
export type CallerAdmissionInput = {
	/** Requests in flight of all teams. */
	readonly inFlight: number;
	/** Requests in flight of the request's team. */
	readonly teamInFlight: number;
	/** Teams that have requests in flight, this one included. */
	readonly activeTeams: number;
	/** Most requests of the team in flight, by the route's policy. */
	readonly concurrency: number;
	/** Most requests in flight; `maxCallerInFlight` when absent. */
	readonly maxInFlight?: number;
};

/**
 * Decides whether a caller's node takes a request: within the team's own limit
 * always, unless the node is full and the team has its equal share.
 *
 * @param input - see `CallerAdmissionInput`
 * @returns true when the request is taken
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
