import type {DocumentRoute} from '../src/protocol/routing-document.js';

/**
 * Creates a route of a document that may be repeated and has one service.
 *
 * @param name - its name, and its path
 * @param changes - what else differs
 * @returns the route
 * @example
 * createSampleRoute('a', {timeoutMs: 900}).pathPrefix; // '/a/'
 */
export function createSampleRoute(
	name: string,
	changes: Partial<DocumentRoute> = {},
): DocumentRoute {
	return {
		name,
		host: 'prices.example',
		pathPrefix: `/${name}/`,
		repeatable: true,
		timeoutMs: 1000,
		objectiveMs: 500,
		priority: 0,
		maxAttempts: 1,
		targets: [{service: 'pricebook', weight: 1}],
		...changes,
	};
}
