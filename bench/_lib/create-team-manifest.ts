import {manifestSchema, type Manifest} from '../../src/protocol/manifest.js';

/**
 * Creates the manifest of a small team, of about one kilobyte.
 *
 * @param team - name of the team
 * @param replaces - revision that it replaces
 * @returns the manifest
 * @example
 * createTeamManifest('team-1', 0).routes.length; // 4
 */
export function createTeamManifest(team: string, replaces: number): Manifest {
	const names = ['browse', 'count', 'post', 'price'];
	return manifestSchema.parse({
		team,
		replaces,
		services: {shelf: {shedding: 'not-run'}},
		policies: {
			lookup: {repeatable: true, deadlineMs: 500 + (replaces % 1000)},
		},
		routes: names.map((name) => ({
			name,
			path: `/${team}/${name}`,
			methods: ['GET', 'POST'],
			service: 'shelf',
			policy: 'lookup',
		})),
	});
}
