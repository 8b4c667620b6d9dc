import type {ServerResponse} from 'node:http';
import type {Polka} from 'polka';
import {compileRoutes} from '../../../state/compile-routes.js';
import {matchRoute} from '../../../state/match-route.js';
import {isUnambiguousPath} from '../is-unambiguous-path.js';
import {sendJson} from '../send-json.js';
import type {AdministrationTaskOptions} from './administration-options.js';
import {createHandler, type AdministrationRequest} from './create-handler.js';

/**
 * Adds the routes that show the configuration in force on this node: its
 * version, the revisions of all teams, and where a request would be routed.
 *
 * @param app - the polka application
 * @param options - readers of the configuration, the membership view and the
 * control traffic
 */
export function addConfigurationRoutes(
	app: Polka,
	options: Pick<
		AdministrationTaskOptions,
		'readConfiguration' | 'readView' | 'readControlBytes' | 'logger'
	>,
): void {
	const {readConfiguration, readView, readControlBytes, logger} = options;

	function handleVersions(
		_request: AdministrationRequest,
		response: ServerResponse,
	): void {
		const {version, digest, teams} = readConfiguration();
		const revisions = Object.entries(teams).map(([team, part]) => ({
			team,
			revision: part.revision,
			version: part.version,
		}));
		sendJson(response, 200, {version, digest, teams: revisions});
	}

	function handleExplain(
		request: AdministrationRequest,
		response: ServerResponse,
	): void {
		const {method, path: target} = request.query;
		if (typeof method !== 'string' || typeof target !== 'string') {
			sendJson(response, 400, {error: 'needs one method and one path'});
			return;
		}

		const path = target.split('?', 1)[0]!;
		if (!isUnambiguousPath(path)) {
			const error = `${JSON.stringify(path)} is ambiguous; requests for it are refused`;
			sendJson(response, 400, {error});
			return;
		}

		const {candidates} = readView();
		const table = compileRoutes(readConfiguration(), candidates);
		const route = matchRoute(table, {method, host: '', path});
		const hosts = route && candidates.get(route.service);
		sendJson(response, route ? 200 : 404, {
			version: table.version,
			route: route && {...route, methods: [...route.methods]},
			hosts: hosts ?? [],
		});
	}

	app
		.get('/versions', createHandler(logger, handleVersions))
		.get('/explain', createHandler(logger, handleExplain))
		.get(
			'/health',
			createHandler(logger, (_request, response) => {
				sendJson(response, 200, {
					version: readConfiguration().version,
					controlBytes: readControlBytes(),
				});
			}),
		);
}
