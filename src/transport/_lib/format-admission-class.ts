import type {CompiledRoute} from '../../protocol/request.js';

/** Priority from which all tenants of a route share one class; bounds what a node keeps of each host. */
const maxPriority = 7;

/**
 * Formats the admission class of a request: requests of the same route and rank
 * of their tenant, with more or less than half of the objective left, are
 * admitted alike.
 *
 * @param route - the route, with the priority of the request's tenant
 * @param leftMs - time left to meet the objective, ms
 * @returns the class
 */
export function formatAdmissionClass(
	{name, objectiveMs = 0, tenant, priority = 0}: CompiledRoute,
	leftMs: number,
): string {
	const ranked =
		tenant === undefined ? name : `${name} ${Math.min(maxPriority, priority)}`;
	return leftMs < objectiveMs / 2 ? `${ranked} aged` : ranked;
}
