import type {
	CompiledRoute,
	DocumentRouteTable,
	HostRoute,
	ManifestRouteTable,
	RouteTable,
} from '../protocol/request.js';

/** What of a request selects its route. */
export type RouteQuery = {
	/** HTTP method, upper case. */
	readonly method: string;
	/** Value of the `Host` header. */
	readonly host: string;
	/** Path, without the query. */
	readonly path: string;
};

function matchesPath(route: CompiledRoute, path: string): boolean {
	return (
		path.startsWith(route.path) &&
		(path.length === route.path.length || path[route.path.length] === '/')
	);
}

function matchTeamRoute(
	table: ManifestRouteTable,
	{method, path}: RouteQuery,
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

function removePort(host: string): string {
	const colon = host.lastIndexOf(':');
	return colon === -1 ? host : host.slice(0, colon);
}

function matchHostRoute(
	table: DocumentRouteTable,
	{host, path}: RouteQuery,
): HostRoute | undefined {
	const unknown = table.hasRouteWithUnknownHost ? 'unreadable' : undefined;
	const routes =
		table.byHost.get(host) ?? table.byHost.get(removePort(host).toLowerCase());
	if (!routes) {
		return unknown;
	}

	// Each prefix ends with a slash, so only the path's slashes can end one.
	for (
		let end = path.lastIndexOf('/');
		end >= 0;
		end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)
	) {
		const route = routes.get(path.slice(0, end + 1));
		if (route) {
			return route;
		}
	}

	return unknown;
}

/**
 * Finds the route of a request: the longest path that matches, among the routes
 * of the team named by the first path segment, or of the host name.
 *
 * @param table - the compiled routes
 * @param query - see `RouteQuery`
 * @returns the route, `unreadable` when the request may be for one that nodes
 * can't read, or undefined when there is none
 * @example
 * matchRoute(table, {method: 'GET', host, path: '/kitchens/prices/lamb'});
 */
export function matchRoute(
	table: ManifestRouteTable,
	query: RouteQuery,
): CompiledRoute | undefined;
export function matchRoute(
	table: RouteTable,
	query: RouteQuery,
): HostRoute | undefined;
export function matchRoute(
	table: RouteTable,
	query: RouteQuery,
): HostRoute | undefined {
	switch (table.kind) {
		case 'manifests': {
			return matchTeamRoute(table, query);
		}

		case 'document': {
			return matchHostRoute(table, query);
		}
	}
}
