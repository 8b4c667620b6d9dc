import type {Polka} from 'polka';
import {compileRoutes} from '../../../state/compile-routes.js';
import {matchRoute} from '../../../state/match-route.js';
import {sendJson} from '../send-json.js';
import type {AdministrationTaskOptions} from './administration-options.js';

/**
 * Adds the routes that show what this node runs: its version, the revisions of
 * all teams, and where a request would go.
 *
 * @param app - the application
 * @param options - where the configuration and the view are read
 */
export function addConfigurationRoutes(
	app: Polka,
	options: Pick<
		AdministrationTaskOptions,
		'readConfiguration' | 'readView' | 'readControlBytes'
	>,
): void {
	const {readConfiguration, readView, readControlBytes} = options;
	app
		.get('/versions', (_request, response) => {
			const {version, digest, teams} = readConfiguration();
			const revisions = Object.entries(teams).map(([team, part]) => ({
				team,
				revision: part.revision,
				version: part.version,
			}));
			sendJson(response, 200, {version, digest, teams: revisions});
		})
		.get('/explain', (request, response) => {
			const {method, path} = request.query;
			if (typeof method !== 'string' || typeof path !== 'string') {
				sendJson(response, 400, {error: 'needs one method and one path'});
				return;
			}

			const table = compileRoutes(readConfiguration());
			const route = matchRoute(table, method, path.split('?', 1)[0]!);
			const hosts = route && readView().candidates.get(route.service);
			sendJson(response, route ? 200 : 404, {
				version: table.version,
				route: route && {...route, methods: [...route.methods]},
				hosts: hosts ?? [],
			});
		})
		.get('/health', (_request, response) => {
			sendJson(response, 200, {
				version: readConfiguration().version,
				controlBytes: readControlBytes(),
			});
		});
}
