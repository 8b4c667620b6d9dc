import type {
	Configuration,
	Manifest,
	Problem,
} from '../protocol/configuration.js';
import type {Route, Service} from '../protocol/manifest.js';
import {resolveService} from './resolve-service.js';

function findService(
	configuration: Configuration,
	manifest: Manifest,
	fullName: string,
): Service | undefined {
	const [team = '', name = ''] = fullName.split('/');
	if (team === manifest.team) {
		return Object.hasOwn(manifest.services, name)
			? manifest.services[name]
			: undefined;
	}

	const owner = Object.hasOwn(configuration.teams, team)
		? configuration.teams[team]
		: undefined;
	const service =
		owner && Object.hasOwn(owner.services, name)
			? owner.services[name]
			: undefined;
	return service?.shared ? service : undefined;
}

function checkRoute(
	configuration: Configuration,
	manifest: Manifest,
	route: Route,
): Problem[] {
	const problems: Problem[] = [];
	const place = `routes.${route.name}`;
	const fullName = resolveService(manifest.team, route.service);
	if (!findService(configuration, manifest, fullName)) {
		problems.push({
			code: 'unknown-service',
			place: `${place}.service`,
			message: `service ${fullName} is not defined or not shared`,
		});
	}

	if (!Object.hasOwn(manifest.policies, route.policy)) {
		problems.push({
			code: 'unknown-policy',
			place: `${place}.policy`,
			message: `policy ${route.policy} is not defined`,
		});
	}

	if (!`${route.path}/`.startsWith(`/${manifest.team}/`)) {
		problems.push({
			code: 'foreign-path',
			place: `${place}.path`,
			message: `path must be under /${manifest.team}`,
		});
	}

	return problems;
}

function findDuplicateRoutes(manifest: Manifest): Problem[] {
	const seen = new Set<string>();
	const problems: Problem[] = [];
	for (const route of manifest.routes) {
		const methods = route.methods.length > 0 ? route.methods : ['*'];
		const keys = [
			`name ${route.name}`,
			...methods.map((method) => `${method} ${route.path}`),
		];
		if (keys.some((key) => seen.has(key))) {
			problems.push({
				code: 'duplicate-route',
				place: `routes.${route.name}`,
				message: 'another route has the same name, or path and method',
			});
		}

		for (const key of keys) {
			seen.add(key);
		}
	}

	return problems;
}

function findBrokenReferences(
	configuration: Configuration,
	manifest: Manifest,
): Problem[] {
	const problems: Problem[] = [];
	for (const [team, other] of Object.entries(configuration.teams)) {
		if (team === manifest.team) {
			continue;
		}

		for (const route of other.routes) {
			const [owner, name = ''] = resolveService(team, route.service).split('/');
			const isShared =
				Object.hasOwn(manifest.services, name) &&
				manifest.services[name]?.shared;
			if (owner === manifest.team && !isShared) {
				problems.push({
					code: 'service-in-use',
					place: `services.${name}`,
					message: `route ${route.name} of team ${team} uses this service`,
				});
			}
		}
	}

	return problems;
}

/**
 * Validates a manifest against the configuration of all teams.
 *
 * @param configuration - the configuration to which the manifest would be applied
 * @param manifest - a manifest that conforms to its schema
 * @returns all problems found; empty when the manifest can be accepted
 * @example
 * validateManifest(createConfiguration(), manifest).length; // 0
 */
export function validateManifest(
	configuration: Configuration,
	manifest: Manifest,
): readonly Problem[] {
	const current = configuration.teams[manifest.team]?.revision ?? 0;
	if (manifest.replaces !== current) {
		return [
			{
				code: 'conflict',
				place: 'replaces',
				message: `current revision is ${current}`,
			},
		];
	}

	return [
		...manifest.routes.flatMap((route) =>
			checkRoute(configuration, manifest, route),
		),
		...findDuplicateRoutes(manifest),
		...findBrokenReferences(configuration, manifest),
	];
}
