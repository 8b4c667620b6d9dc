import {isDeepStrictEqual} from 'node:util';
import type {RoutingDocument} from '../protocol/routing-document.js';
import {isSameRoute} from './_lib/is-same-route.js';

/**
 * Replaces the unchanged routes of a document by the objects of an earlier one, so
 * that results cached by route object remain usable. The same holds for tenants.
 *
 * @param earlier - the document that the node has
 * @param next - the document as read in full
 * @returns `next`, with unchanged routes taken from `earlier`
 * @example
 * mergeDocument(earlier, next).routes[0] === earlier.routes[0];
 */
export function mergeDocument(
	earlier: RoutingDocument,
	next: RoutingDocument,
): RoutingDocument {
	const earlierByName = new Map(
		earlier.routes.map((route) => [route.name, route]),
	);
	const tenantsByName = new Map(
		earlier.tenants?.map((tenant) => [tenant.name, tenant]),
	);
	const tenants = next.tenants?.map((tenant) => {
		const before = tenantsByName.get(tenant.name);
		return before && isDeepStrictEqual(before, tenant) ? before : tenant;
	});
	return {
		...next,
		...(tenants && {tenants}),
		routes: next.routes.map((route) => {
			const before = earlierByName.get(route.name);
			return before && isSameRoute(before, route) ? before : route;
		}),
	};
}
