import {computeOpenSlots, type TeamActivity} from './compute-open-slots.js';

/** Input of `pickNextTeam`. */
export type NextTeamInput = {
	readonly slots: number;
	readonly inFlight: number;
	/** Start tag of the first waiting attempt of each team that has one. */
	readonly startTags: ReadonlyMap<string, number>;
	/** Activity of each team, waiting or not. */
	readonly teams: ReadonlyMap<string, TeamActivity>;
};

/**
 * Picks the team whose first waiting attempt takes a slot next: the lowest
 * start tag among the teams to which a slot is open.
 *
 * @param input - see `NextTeamInput`
 * @returns the team, or undefined if no waiting team may take a slot
 * @example
 * pickNextTeam({slots: 6, inFlight: 6, startTags, teams}); // undefined
 */
export function pickNextTeam(input: NextTeamInput): string | undefined {
	const {slots, inFlight, startTags, teams} = input;
	if (inFlight >= slots) {
		return undefined;
	}

	let next: string | undefined;
	let lowest = Number.POSITIVE_INFINITY;
	for (const [team, startTag] of startTags) {
		if (startTag < lowest && inFlight < computeOpenSlots(slots, teams, team)) {
			next = team;
			lowest = startTag;
		}
	}

	return next;
}
