import type {UsualDeadline} from './step-usual-deadline.js';

/**
 * Computes how long ago a client first sent a request.
 *
 * Load pattern: clients that retry after refusals. Their requests look like new
 * ones, but most of their objective has passed, and they take slots from
 * requests that can still be answered in time.
 *
 * @param usual - the usual deadline of first requests of the route, undefined when not known
 * @param deadlineMs - deadline of the request, ms
 * @returns the age, ms; 0 when the request is a first one or the usual deadline is not known
 * @example
 * computeRequestAge({deadlineMs: 1200, votes: 9}, 1050); // 150
 */
export function computeRequestAge(
	usual: UsualDeadline | undefined,
	deadlineMs: number,
): number {
	return usual ? Math.max(0, usual.deadlineMs - deadlineMs) : 0;
}
