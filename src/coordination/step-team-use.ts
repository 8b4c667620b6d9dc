import {readTeamUse} from './read-team-use.js';

/** Decaying count of the attempts that a team has started at an upstream. */
export type TeamUse = {
	readonly starts: number;
	/** When the last one started, monotonic ms. */
	readonly at: number;
};

/**
 * Records that an attempt of a team has started.
 *
 * @param use - the use before, undefined before the first attempt
 * @param now - monotonic ms
 * @returns the use after
 * @example
 * stepTeamUse(undefined, 0).starts; // 1
 */
export function stepTeamUse(use: TeamUse | undefined, now: number): TeamUse {
	return {starts: (use ? readTeamUse(use, now) : 0) + 1, at: now};
}
