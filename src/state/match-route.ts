import type {CompiledRoute, RouteTable} from '../protocol/request.js';

function matchesPath(route: CompiledRoute, path: string): boolean {
	return (
		path.startsWith(route.path) &&
		(path.length === route.path.length || path[route.path.length] === '/')
	);
}

/**
 * Finds the route of a request: the longest matching path of the team named by
 * the first path segment.
 *
 * @param table - the compiled routes
 * @param method - the HTTP method, upper case
 * @param path - the path, without the query
 * @returns the route, or undefined when there is none
 * @example
 * matchRoute(table, 'GET', '/kitchens/prices/lamb')?.service;
 */
export function matchRoute(
	table: RouteTable,
	method: string,
	path: string,
): CompiledRoute | undefined {
	const end = path.indexOf('/', 1);
	const team = path.slice(1, end === -1 ? undefined : end);
	return table.byTeam
		.get(team)
		?.find(
			(route) =>
				(route.methods.size === 0 || route.methods.has(method)) &&
				matchesPath(route, path),
		);
}
