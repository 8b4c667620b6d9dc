import type {TeamUse} from './step-team-use.js';

const halfLifeMs = 2000;

/**
 * Reads the recent use of an upstream by a team.
 *
 * @param use - the recorded use
 * @param now - monotonic ms
 * @returns the number of started attempts, with a half-life of two seconds
 * @example
 * readTeamUse({starts: 4, at: 0}, 2000); // 2
 */
export function readTeamUse(use: TeamUse, now: number): number {
	return use.starts * 2 ** ((use.at - now) / halfLifeMs);
}
