import {maxBodyBytes, maxDocumentConcurrency} from '../protocol/constants.js';
import type {CompiledRoute, RouteTable} from '../protocol/request.js';
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

/**
 * Compiles the routes of a document into a table for matching requests. A
 * route that is the same object as before is compiled once.
 *
 * @param document - the document
 * @returns the route table, to be swapped in whole
 * @example
 * compileDocument({version: 1, routes: [], services: {}}).version; // 1
 */
export function compileDocument(document: RoutingDocument): RouteTable {
	const maxBytes = document.limits?.maxBodyBytes ?? maxBodyBytes;
	const byHost = new Map<string, Map<string, CompiledRoute>>();
	for (const route of document.routes) {
		const host = route.host.toLowerCase();
		const routes = byHost.get(host) ?? new Map<string, CompiledRoute>();
		byHost.set(host, routes);
		routes.set(route.pathPrefix, compileRoute(route, maxBytes));
	}

	return {kind: 'document', version: document.version, byHost};
}
