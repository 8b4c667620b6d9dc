import type {Configuration} from '../protocol/configuration.js';
import type {CompiledRoute, RouteTable} from '../protocol/request.js';
import {resolveService} from './resolve-service.js';

function compileTeam(
	configuration: Configuration,
	name: string,
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
		};
	});
	return routes.toSorted((a, b) => b.path.length - a.path.length);
}

/**
 * Compiles the routes of a configuration into a table for matching requests.
 *
 * @param configuration - a configuration whose invariants hold
 * @returns the route table, to be swapped in whole
 * @example
 * compileRoutes(createConfiguration()).byTeam.size; // 0
 */
export function compileRoutes(configuration: Configuration): RouteTable {
	const byTeam = new Map(
		Object.keys(configuration.teams).map((name) => [
			name,
			compileTeam(configuration, name),
		]),
	);
	return {version: configuration.version, byTeam};
}
