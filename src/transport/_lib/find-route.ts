import type {IncomingMessage} from 'node:http';
import {maxDepth} from '../../protocol/constants.js';
import type {CallerParameters, Edge} from '../../protocol/edge.js';
import type {
	CompiledRoute,
	OutcomeReason,
	RouteTable,
} from '../../protocol/request.js';
import {matchRoute} from '../../state/match-route.js';
import {isUnambiguousPath} from './is-unambiguous-path.js';

/**
 * Finds the route of a caller's request. It takes no option object, which would
 * be one more allocation for each request.
 *
 * @param request - the request
 * @param table - the routes; undefined while the node has no configuration
 * @param parameters - parameters of the request
 * @param edge - whether ambiguous paths are refused
 * @returns the route, or why the request is refused
 */
export function findRoute(
	request: IncomingMessage,
	table: RouteTable | undefined,
	{depth}: Pick<CallerParameters, 'depth'>,
	{refusesAmbiguousPaths}: Pick<Edge, 'refusesAmbiguousPaths'>,
): CompiledRoute | OutcomeReason {
	const {url = '/', method = 'GET'} = request;
	const [path = '/'] = url.split('?', 1);
	const isRefused = refusesAmbiguousPaths && !isUnambiguousPath(path);
	if (isRefused || depth > maxDepth) {
		return 'bad-request';
	}

	const {upgrade} = request.headers;
	if (upgrade !== undefined && upgrade !== 'h2c') {
		return 'upgrade';
	}

	if (!table) {
		return 'no-configuration';
	}

	const {host = ''} = request.headers;
	const route = matchRoute(table, {method, host, path});
	if (route === 'unreadable') {
		return 'unreadable-route';
	}

	return route?.isLive === false ? 'pending' : (route ?? 'no-route');
}
