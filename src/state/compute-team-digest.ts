import type {TeamConfiguration} from '../protocol/configuration.js';
import {computeDigest} from './_lib/compute-digest.js';

/**
 * Computes the digest of one team's part of the configuration.
 *
 * @param team - the team's configuration; a `digest` field is ignored
 * @returns the digest, 64 hexadecimal digits
 * @example
 * computeTeamDigest({...team, routes: []});
 */
export function computeTeamDigest(
	team: Omit<TeamConfiguration, 'digest'>,
): string {
	const {revision, version, services, policies, routes, submissions} = team;
	return computeDigest({
		revision,
		version,
		services,
		policies,
		routes,
		submissions,
	});
}
