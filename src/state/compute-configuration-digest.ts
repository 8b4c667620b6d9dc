import {createHash} from 'node:crypto';
import type {TeamConfiguration} from '../protocol/configuration.js';

/**
 * Computes the digest of a whole configuration from its teams' digests.
 *
 * A change of one team costs one hash over that team and one over the list of
 * team digests, whatever the size of the other teams.
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
