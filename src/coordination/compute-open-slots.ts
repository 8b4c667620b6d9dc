import {reservedSlotsRatio} from '../protocol/constants.js';

const minActiveUse = 0.5;

/** What a gate knows of one team at an upstream. */
export type TeamActivity = {
	/** Aged count of started attempts, see `readTeamUse`. */
	readonly use: number;
	/** Attempts that are in a slot. */
	readonly inFlight: number;
};

/**
 * Computes how many slots may be in use for a team to take one more.
 *
 * A team that holds its equal share of the slots leaves a part of the rest
 * free for the others that were lately active, so that their attempts find a
 * slot without waiting for an attempt of the first to end. A team below its
 * share, or by itself, may use every slot.
 *
 * @param slots - slots of the upstream
 * @param teams - activity of each team
 * @param team - the team that wants a slot
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
