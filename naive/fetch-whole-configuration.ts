import type {LogEntry} from '../src/protocol/configuration.js';
import type {Manifest} from '../src/protocol/manifest.js';

/** What one team has declared, with the number of its accepted manifests. */
export type NaiveTeam = Pick<Manifest, 'services' | 'policies' | 'routes'> & {
	readonly revision: number;
};

/**
 * Fetches the whole log and builds the configuration from it anew: the last
 * manifest of each team, without deltas, digests or checks.
 *
 * @param fetchAll - returns every entry of the log in order
 * @returns what each team has declared, by team
 * @example
 * fetchWholeConfiguration(() => entries).kitchens?.revision;
 */
export function fetchWholeConfiguration(
	fetchAll: () => readonly LogEntry[],
): Readonly<Record<string, NaiveTeam>> {
	const teams: Record<string, NaiveTeam> = {};
	for (const {manifest} of fetchAll().flatMap(({commits}) => commits)) {
		const {team, services, policies, routes} = manifest;
		const revision = (teams[team]?.revision ?? 0) + 1;
		teams[team] = {revision, services, policies, routes};
	}

	return teams;
}
