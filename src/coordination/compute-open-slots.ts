import {reservedSlotsRatio} from '../protocol/constants.js';

const activeUse = 0.5;

/**
 * Computes how many slots may be in use for a team to take one more.
 *
 * A team that lately used more than its equal share leaves a part of the slots
 * free for the others, so that their attempts find one without waiting for an
 * attempt of the first to end. A team by itself may use every slot.
 *
 * @param slots - slots of the upstream
 * @param uses - aged starts of each team, see `readTeamUse`
 * @param team - the team that wants a slot
 * @returns the number of slots in use below which the team may take one
 * @example
 * computeOpenSlots(6, new Map([['a', 90], ['b', 10]]), 'a'); // 5
 */
export function computeOpenSlots(
	slots: number,
	uses: ReadonlyMap<string, number>,
	team: string,
): number {
	let activeTeams = 0;
	let total = 0;
	for (const use of uses.values()) {
		if (use >= activeUse) {
			activeTeams++;
			total += use;
		}
	}

	const isAboveShare = (uses.get(team) ?? 0) * activeTeams > total;
	const reserved = Math.min(slots - 1, Math.ceil(slots * reservedSlotsRatio));
	return activeTeams > 1 && isAboveShare ? slots - reserved : slots;
}
