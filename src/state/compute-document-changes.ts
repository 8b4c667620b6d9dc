import type {
	DocumentChanges,
	RoutingDocument,
} from '../protocol/routing-document.js';
import {applyDocumentChanges} from './apply-document-changes.js';

/**
 * Computes what turns one document into a later one.
 *
 * A route has stayed when it is the same object in both. Routes that change
 * their order, or share a name, cannot be told in changes.
 *
 * @param base - the earlier document
 * @param next - the later document
 * @returns the changes, or undefined when only the whole document will do
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
