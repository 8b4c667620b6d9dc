import polka from 'polka';
import {addConfigurationRoutes} from './_lib/administration/add-configuration-routes.js';
import {addManifestRoutes} from './_lib/administration/add-manifest-routes.js';
import {addMemberRoutes} from './_lib/administration/add-member-routes.js';
import {addStatusRoutes} from './_lib/administration/add-status-routes.js';
import type {AdministrationTaskOptions} from './_lib/administration/administration-options.js';
import {createListener} from './_lib/create-listener.js';
import {sendJson} from './_lib/send-json.js';
import {startServer, type RunningServer} from './_lib/start-server.js';

/**
 * Starts the administration API of a node. Operators submit manifests and read
 * the status; upstreams on the host announce themselves.
 *
 * @param options - see `AdministrationTaskOptions`
 * @returns the running server
 * @example
 * await startAdministrationTask({address: '127.0.0.1:8082', ...tasks});
 */
export async function startAdministrationTask(
	options: AdministrationTaskOptions,
): Promise<RunningServer> {
	const app = polka({
		onNoMatch(request, response) {
			const {method, path} = request;
			sendJson(response, 404, {error: `no resource ${method} ${path}`});
		},
	});
	addManifestRoutes(app, options);
	addStatusRoutes(app, options);
	addConfigurationRoutes(app, options);
	addMemberRoutes(app, options);
	return startServer(options.address, createListener(app));
}
