import {reservedSlotsRatio} from '../protocol/constants.js';

const minActiveUse = 0.5;

/** Recent activity of one team at an upstream, as known to the gate. */
export type TeamActivity = {
	/** Decayed count of started attempts, see `readTeamUse`. */
	readonly use: number;
	/** Attempts that occupy a slot. */
	readonly inFlight: number;
};

/**
 * Computes the number of slots in use below which a team may take another one.
 *
 * A team that holds its equal share of the slots must leave a part of the rest
 * free for other recently active teams, so that their attempts get a slot
 * without waiting for an attempt of that team to end. A team below its share, or
 * the only active team, may use every slot.
 *
 * @param slots - slots of the upstream
 * @param teams - activity of each team
 * @param team - the team that requests a slot
 * @returns the number of slots in use below which the team may take one
 * @example
 * computeOpenSlots(6, new Map([['a', {use: 90, inFlight: 3}]]), 'a'); // 6
 */
export function computeOpenSlots(
	slots: number,
	teams: ReadonlyMap<string, TeamActivity>,
	team: string,
): number {
	const own = teams.get(team);
	let activeTeams = own && own.use >= minActiveUse ? 0 : 1;
	for (const {use} of teams.values()) {
		activeTeams += use >= minActiveUse ? 1 : 0;
	}

	const hasShare = (own?.inFlight ?? 0) >= slots / activeTeams;
	const reserved = Math.min(slots - 1, Math.ceil(slots * reservedSlotsRatio));
	return activeTeams > 1 && hasShare ? slots - reserved : slots;
}
