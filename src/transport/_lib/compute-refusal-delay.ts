import {computeRetryAfter} from '../../coordination/compute-retry-after.js';
import type {RequestParameters} from '../../coordination/request-state.js';
import {busyRetryMs, defaultObjectiveRatio} from '../../protocol/constants.js';

/** Input of `computeRefusalDelay`. */
export type RefusalDelayInput = {
	readonly parameters: Pick<RequestParameters, 'deadlineAt' | 'objectiveAt'>;
	/** Objective of the route, ms; 0 when unknown. */
	readonly routeObjectiveMs: number | undefined;
	/** Shortest wait under the hosts' rate limits, ms. */
	readonly rateLimitWaitMs: number;
	/** Monotonic ms. */
	readonly now: number;
	/** Random number in [0, 1). */
	readonly random: number;
};

/**
 * Computes the retry delay for a refusal that did not come from a gate.
 *
 * @param input - see `RefusalDelayInput`
 * @returns the delay, s
 */
export function computeRefusalDelay(input: RefusalDelayInput): number {
	const {parameters, routeObjectiveMs = 0, rateLimitWaitMs, now} = input;
	const {deadlineAt, objectiveAt = deadlineAt} = parameters;
	return computeRetryAfter({
		waitMs: Math.max(busyRetryMs, rateLimitWaitMs),
		serviceMs: routeObjectiveMs * defaultObjectiveRatio,
		objectiveMs: objectiveAt - now,
		remainingMs: Math.max(0, deadlineAt - now),
		random: input.random,
		minDelayMs: busyRetryMs,
	});
}
