import type {RoutingDocument} from '../protocol/routing-document.js';
import {isSameRoute} from './_lib/is-same-route.js';

/**
 * Gives a document the objects of an earlier one for the routes that have
 * stayed the same, so that what was made of them can be used again.
 *
 * @param earlier - the document that the node has
 * @param next - the document that was read whole
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
	return {
		...next,
		routes: next.routes.map((route) => {
			const before = earlierByName.get(route.name);
			return before && isSameRoute(before, route) ? before : route;
		}),
	};
}
