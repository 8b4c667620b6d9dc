/**
 * Deadlines of a request at its caller's node.
 */
import {
	responseMarginMs,
	responseMarginRatio,
} from '../../protocol/constants.js';
import type {CallerParameters} from '../../protocol/edge.js';
import type {CompiledRoute} from '../../protocol/request.js';

/**
 * Computes the time for which a request may be kept waiting: until the client's
 * deadline or the time-out of the route.
 *
 * @param parameters - what the client states
 * @param route - the request's route
 * @returns the time, ms
 */
export function computeDeadlineMs(
	{deadlineMs = Number.POSITIVE_INFINITY}: CallerParameters,
	route: CompiledRoute,
): number {
	return Math.min(route.deadlineMs, deadlineMs);
}

/**
 * Computes the time in which an upstream must respond for the response to reach
 * the client before its deadline.
 *
 * @param parameters - what the client states
 * @param route - the request's route
 * @returns the time, ms
 */
export function computeRunDeadlineMs(
	{deadlineMs = Number.POSITIVE_INFINITY}: CallerParameters,
	route: CompiledRoute,
): number {
	const marginMs = Math.min(responseMarginMs, deadlineMs * responseMarginRatio);
	return Math.min(route.deadlineMs, deadlineMs - marginMs);
}
