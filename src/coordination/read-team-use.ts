import type {TeamUse} from './step-team-use.js';

const halfLifeMs = 2000;

/**
 * Reads how much a team has lately used an upstream.
 *
 * @param use - the use as it was noted
 * @param now - monotonic ms
 * @returns attempts started, each halved for every two seconds of its age
 * @example
 * readTeamUse({starts: 4, at: 0}, 2000); // 2
 */
export function readTeamUse(use: TeamUse, now: number): number {
	return use.starts * 2 ** ((use.at - now) / halfLifeMs);
}
