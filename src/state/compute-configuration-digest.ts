import {createHash} from 'node:crypto';
import type {TeamConfiguration} from '../protocol/configuration.js';

/**
 * Computes the digest of a whole configuration from its teams' digests.
 *
 * After a change of one team, only the digest of that team and the hash of the
 * list of team digests are computed again, whatever the size of the other teams.
 *
 * @param version - version of the configuration
 * @param teams - teams by name, each with its digest
 * @returns the digest, 64 hexadecimal digits
 * @example
 * computeConfigurationDigest(0, {});
 */
export function computeConfigurationDigest(
	version: number,
	teams: Readonly<Record<string, TeamConfiguration>>,
): string {
	const hash = createHash('sha256').update(String(version));
	for (const name of Object.keys(teams).toSorted()) {
		hash.update(`\n${name} ${teams[name]!.digest}`);
	}

	return hash.digest('hex');
}
