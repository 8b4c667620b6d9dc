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

/** Compiled routes by what they were compiled from. */
const compiled = new WeakMap<DocumentRoute, CompiledRoute>();

function compileRoute(route: DocumentRoute, maxBytes: number): CompiledRoute {
	const known = compiled.get(route);
	if (known?.maxBodyBytes === maxBytes) {
		return known;
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
	};
	compiled.set(route, next);
	return next;
}

type HostRoutes = Map<string, Map<string, HostRoute>>;

function openHost(byHost: HostRoutes, name: string): Map<string, HostRoute> {
	const host = name.toLowerCase();
	const routes = byHost.get(host) ?? new Map<string, HostRoute>();
	byHost.set(host, routes);
	return routes;
}

/**
 * Compiles the routes of a document into a table for matching requests. A
 * route that is the same object as before is compiled once.
 *
 * @param document - the document
 * @returns the route table, to be swapped in whole
 * @example
 * compileDocument({version: 1, routes: [], services: {}}).version; // 1
 */
export function compileDocument(document: RoutingDocument): DocumentRouteTable {
	const maxBytes = document.limits?.maxBodyBytes ?? maxBodyBytes;
	const byHost: HostRoutes = new Map();
	for (const route of document.routes) {
		openHost(byHost, route.host).set(
			route.pathPrefix,
			compileRoute(route, maxBytes),
		);
	}

	// Requests may be for a route that can't be read under its path, or anywhere
	// on its host that no other route covers.
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

		const routes = openHost(byHost, host);
		if (!routes.has(pathPrefix)) {
			routes.set(pathPrefix, 'unreadable');
		}
	}

	const {version} = document;
	return {kind: 'document', version, byHost, hasRouteWithUnknownHost};
}
