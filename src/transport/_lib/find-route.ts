import type {IncomingMessage} from 'node:http';
import {maxDepth} from '../../protocol/constants.js';
import type {
	CompiledRoute,
	OutcomeReason,
	RouteTable,
} from '../../protocol/request.js';
import {matchRoute} from '../../state/match-route.js';
import {isUnambiguousPath} from './is-unambiguous-path.js';

/** Options of `findRoute`. */
export type FindRouteOptions = {
	/** The routes; undefined while the node has no configuration. */
	readonly table: RouteTable | undefined;
	/** Number of upstreams that the request has passed through. */
	readonly depth: number;
	readonly refusesAmbiguousPaths: boolean;
};

/**
 * Finds the route of a caller's request.
 *
 * @param request - the request
 * @param options - see `FindRouteOptions`
 * @returns the route, or why the request is refused
 */
export function findRoute(
	request: IncomingMessage,
	{table, depth, refusesAmbiguousPaths}: FindRouteOptions,
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
