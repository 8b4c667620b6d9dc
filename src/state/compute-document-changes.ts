import type {
	DocumentChanges,
	DocumentTenant,
	RoutingDocument,
	TenantChanges,
} from '../protocol/routing-document.js';
import {applyDocumentChanges} from './apply-document-changes.js';

/** Computes the changes of tenants; one is unchanged if it is the same object in both documents. */
function computeTenantChanges(
	base: readonly DocumentTenant[],
	next: readonly DocumentTenant[],
): TenantChanges {
	const baseTenants = new Set(base);
	const nextTenants = new Set(next);
	return {
		removed: base
			.filter((tenant) => !nextTenants.has(tenant))
			.map(({name}) => name),
		put: next.filter((tenant) => !baseTenants.has(tenant)),
	};
}

/**
 * Computes the changes from one document to a later one.
 *
 * A route is unchanged if it is the same object in both. Reordered routes, and
 * routes that share a name, cannot be expressed as changes.
 *
 * @param base - the earlier document
 * @param next - the later document
 * @returns the changes, or undefined when the full document is needed
 * @example
 * computeDocumentChanges(base, next)?.put.length;
 */
export function computeDocumentChanges(
	base: RoutingDocument,
	next: RoutingDocument,
): DocumentChanges | undefined {
	const baseRoutes = new Set(base.routes);
	const nextRoutes = new Set(next.routes);
	const changes: DocumentChanges = {
		from: base.version,
		to: next.version,
		removed: base.routes
			.filter((route) => !nextRoutes.has(route))
			.map(({name}) => name),
		put: next.routes.flatMap((route, index) =>
			baseRoutes.has(route) ? [] : [{index, route}],
		),
		...(next.tenants && {
			tenants: computeTenantChanges(base.tenants ?? [], next.tenants),
		}),
		services: next.services,
		...(next.limits && {limits: next.limits}),
		...(next.problems && {problems: next.problems}),
	};
	const applied = applyDocumentChanges(base, changes);
	const isExact =
		applied.isOk() &&
		applied.value.routes.length === next.routes.length &&
		applied.value.routes.every((route, index) => route === next.routes[index]);
	return isExact ? changes : undefined;
}
