import type {Configuration} from '../protocol/configuration.js';
import type {CompiledRoute, ManifestRouteTable} from '../protocol/request.js';
import {resolveService} from './resolve-service.js';

/** Names of services, as a set or as a map with these keys. */
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
 * A route is live only if an upstream of its service is known; other routes are
 * pending, and their requests are refused with the outcome `not-run`.
 *
 * @param configuration - a valid configuration
 * @param services - full names of the services with a known upstream
 * @returns the route table, which replaces the previous one as a whole
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
