import type {UsualDeadline} from './step-usual-deadline.js';

/**
 * Computes how long ago a client first sent a request.
 *
 * Answers the load of clients that come back after refusals: their requests
 * look like new ones, but most of the time in which an answer is of full value
 * has passed, and they take slots from others that can still be in time.
 *
 * @param usual - the usual deadline of fresh requests of the route
 * @param deadlineMs - deadline of the request, ms
 * @returns the age, ms; 0 when the request is fresh or nothing is known
 * @example
 * computeRequestAge({deadlineMs: 1200, votes: 9}, 1050); // 150
 */
export function computeRequestAge(
	usual: UsualDeadline | undefined,
	deadlineMs: number,
): number {
	return usual ? Math.max(0, usual.deadlineMs - deadlineMs) : 0;
}
