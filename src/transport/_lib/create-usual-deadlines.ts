import {computeRequestAge} from '../../coordination/compute-request-age.js';
import {
	stepUsualDeadline,
	type UsualDeadline,
} from '../../coordination/step-usual-deadline.js';
import type {CallerParameters} from '../../protocol/edge.js';
import type {CompiledRoute} from '../../protocol/request.js';

/** Usual deadlines of the requests of each route, by which the age of a request is estimated. */
export type UsualDeadlines = {
	/** Records a request and returns the time left to meet the route's objective, ms. */
	recordRequest(parameters: CallerParameters, route: CompiledRoute): number;
	/** Tells whether the client of a request had sent it before. */
	hasReturned(parameters: CallerParameters, route: CompiledRoute): boolean;
};

/**
 * Creates the usual deadlines of a node's routes. The age of a request is how
 * much its deadline falls below the usual one.
 *
 * @returns the deadlines, none of which is known yet
 */
export function createUsualDeadlines(): UsualDeadlines {
	const byRoute = new Map<string, UsualDeadline>();
	return {
		recordRequest({deadlineMs}, {name, objectiveMs}) {
			if (objectiveMs === undefined || deadlineMs === undefined) {
				return objectiveMs ?? Number.POSITIVE_INFINITY;
			}

			const usual = stepUsualDeadline(byRoute.get(name), deadlineMs);
			byRoute.set(name, usual);
			return Math.max(0, objectiveMs - computeRequestAge(usual, deadlineMs));
		},
		hasReturned: ({deadlineMs}, {name}) =>
			deadlineMs !== undefined &&
			computeRequestAge(byRoute.get(name), deadlineMs) > 0,
	};
}
