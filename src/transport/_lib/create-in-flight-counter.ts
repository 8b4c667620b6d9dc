import {decideCallerAdmission} from '../../coordination/decide-caller-admission.js';
import type {CompiledRoute} from '../../protocol/request.js';

/** Requests in flight at a caller's node. */
export type InFlightCounter = {
	/** Tells whether the node admits another request of a route. */
	canAdmit(route: CompiledRoute): boolean;
	/** Counts a request of a team that starts or ends. */
	count(team: string, change: 1 | -1): void;
	/** Returns the number of requests in flight. */
	read(): number;
	/** Returns the time since the last request started or ended, ms; 0 while requests are in flight. */
	readIdleMs(): number;
};

/**
 * Creates a counter of requests in flight, by team.
 *
 * @param now - monotonic time, ms
 * @returns the counter
 */
export function createInFlightCounter(now: () => number): InFlightCounter {
	const byTeam = new Map<string, number>();
	let inFlight = 0;
	let lastActiveAt = now();
	return {
		canAdmit({team, concurrency}) {
			const teamInFlight = byTeam.get(team) ?? 0;
			return decideCallerAdmission({
				inFlight,
				teamInFlight,
				activeTeams: byTeam.size + (teamInFlight === 0 ? 1 : 0),
				concurrency,
			});
		},
		count(team, change) {
			const count = (byTeam.get(team) ?? 0) + change;
			inFlight += change;
			lastActiveAt = now();
			if (count === 0) {
				byTeam.delete(team);
			} else {
				byTeam.set(team, count);
			}
		},
		read: () => inFlight,
		readIdleMs: () => (inFlight > 0 ? 0 : now() - lastActiveAt),
	};
}
