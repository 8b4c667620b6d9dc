import {maxBodyBytes, maxDocumentConcurrency} from '../protocol/constants.js';
import type {
	CompiledRoute,
	DocumentRouteTable,
	HostRoute,
} from '../protocol/request.js';
import type {
	DocumentRoute,
	RoutingDocument,
} from '../protocol/routing-document.js';
import {compileTenants} from './compile-tenants.js';

/** Cache of compiled routes by their source. */
const compiledRoutes = new WeakMap<DocumentRoute, CompiledRoute>();

function compileRoute(route: DocumentRoute, maxBytes: number): CompiledRoute {
	const cached = compiledRoutes.get(route);
	if (cached?.maxBodyBytes === maxBytes) {
		return cached;
	}

	const [first] = route.targets;
	const next: CompiledRoute = {
		team: '',
		name: route.name,
		path: route.pathPrefix,
		methods: new Set(),
		service: first!.service,
		targets: route.targets.length > 1 ? route.targets : undefined,
		priority: route.priority,
		objectiveMs: route.objectiveMs,
		repeatable: route.repeatable,
		deadlineMs: route.timeoutMs,
		maxAttempts: route.maxAttempts,
		concurrency: maxDocumentConcurrency,
		maxBodyBytes: maxBytes,
		sheddingMeansNotRun: true,
		isLive: true,
		isPublic: route.isPublic,
	};
	compiledRoutes.set(route, next);
	return next;
}

type HostRoutes = Map<string, Map<string, HostRoute>>;

function getOrCreateHostRoutes(
	byHost: HostRoutes,
	name: string,
): Map<string, HostRoute> {
	const host = name.toLowerCase();
	const routes = byHost.get(host) ?? new Map<string, HostRoute>();
	byHost.set(host, routes);
	return routes;
}

/**
 * Compiles the routes of a document into a table for matching requests. A route
 * that is the same object in several documents is compiled once.
 *
 * @param document - the document
 * @returns the route table, which replaces the previous one as a whole
 * @example
 * compileDocument({version: 1, routes: [], services: {}}).version; // 1
 */
export function compileDocument(document: RoutingDocument): DocumentRouteTable {
	const maxBytes = document.limits?.maxBodyBytes ?? maxBodyBytes;
	const byHost: HostRoutes = new Map();
	for (const route of document.routes) {
		getOrCreateHostRoutes(byHost, route.host).set(
			route.pathPrefix,
			compileRoute(route, maxBytes),
		);
	}

	// Requests under the path prefix of an unreadable route may belong to it; when
	// the prefix is unknown, so may all unmatched requests of its host.
	let hasRouteWithUnknownHost = false;
	for (const problem of document.problems ?? []) {
		if (problem.kind !== 'route-refused') {
			continue;
		}

		const {host, pathPrefix = '/'} = problem;
		if (host === undefined) {
			hasRouteWithUnknownHost = true;
			continue;
		}

		const routes = getOrCreateHostRoutes(byHost, host);
		if (!routes.has(pathPrefix)) {
			routes.set(pathPrefix, 'unreadable');
		}
	}

	const {version, tenants} = document;
	return {
		kind: 'document',
		version,
		byHost,
		hasRouteWithUnknownHost,
		...(tenants && {tenantsByKey: compileTenants(tenants)}),
	};
}
