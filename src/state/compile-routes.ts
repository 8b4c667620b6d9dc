import type {Configuration} from '../protocol/configuration.js';
import type {CompiledRoute, ManifestRouteTable} from '../protocol/request.js';
import {resolveService} from './resolve-service.js';

/** Names of services; a map with these keys will do. */
type ServiceNames = {has(service: string): boolean};

function compileTeam(
	configuration: Configuration,
	name: string,
	services: ServiceNames,
): readonly CompiledRoute[] {
	const team = configuration.teams[name]!;
	const routes = team.routes.map((route): CompiledRoute => {
		const service = resolveService(name, route.service);
		const [owner = '', shortName = ''] = service.split('/');
		const policy = team.policies[route.policy]!;
		const shedding =
			configuration.teams[owner]?.services[shortName]?.shedding ?? 'unknown';
		return {
			team: name,
			name: route.name,
			path: route.path,
			methods: new Set(route.methods),
			service,
			...policy,
			sheddingMeansNotRun: shedding === 'not-run',
			isLive: services.has(service),
		};
	});
	return routes.toSorted((a, b) => b.path.length - a.path.length);
}

/**
 * Compiles the routes of a configuration into a table for matching requests.
 *
 * A route is live only where an upstream of its service is known; the others
 * are pending, and a request for one is refused as not run.
 *
 * @param configuration - a configuration whose invariants hold
 * @param services - full names of the services with a known upstream
 * @returns the route table, to be swapped in whole
 * @example
 * compileRoutes(createConfiguration(), new Set()).version; // 0
 */
export function compileRoutes(
	configuration: Configuration,
	services: ServiceNames,
): ManifestRouteTable {
	const byTeam = new Map(
		Object.keys(configuration.teams).map((name) => [
			name,
			compileTeam(configuration, name, services),
		]),
	);
	return {kind: 'manifests', version: configuration.version, byTeam};
}
