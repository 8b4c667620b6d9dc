import {
	minRetryBudget,
	retryBudgetRatio,
	retryBudgetWindowMs,
} from '../protocol/constants.js';

/** Requests and retries in one part of the window. */
type BudgetPart = {
	/** Index of the part since the clock's origin. */
	readonly number: number;
	readonly requests: number;
	readonly retries: number;
};

/** Retry budget of one team and service. */
export type RetryBudget = {
	/** Retries that may be made now. */
	readonly tokens: number;
	/** Parts of the current window, oldest first. */
	readonly parts: readonly BudgetPart[];
};

/** Messages to a retry budget. */
export type RetryBudgetMessage = 'request' | 'retry' | 'tick';

/** Options of `stepRetryBudget`. */
export type RetryBudgetOptions = {
	/** Retries for each request; `retryBudgetRatio` when absent. */
	readonly share?: number;
	/** Retries in a window without requests; `minRetryBudget` when absent. */
	readonly floor?: number;
	/** Time over which retries are counted, ms; `retryBudgetWindowMs` when absent. */
	readonly windowMs?: number;
};

/** Number of parts into which a window is divided. */
const partsPerWindow = 10;

/**
 * Advances a retry budget: any window allows a fixed number of retries plus a
 * share of the requests in the window.
 *
 * Load pattern: upstreams that fail at the same time. The retries of all nodes
 * must not add to the load that made them fail. No tokens are carried over from
 * quiet periods, so that the bound holds for every window.
 *
 * @param budget - the budget before, undefined when there is none
 * @param message - the event
 * @param now - monotonic ms
 * @param options - see `RetryBudgetOptions`
 * @returns the budget after
 * @example
 * stepRetryBudget(undefined, 'retry', 0).tokens; // 9
 */
export function stepRetryBudget(
	budget: RetryBudget | undefined,
	message: RetryBudgetMessage,
	now: number,
	options: RetryBudgetOptions = {},
): RetryBudget {
	const {share = retryBudgetRatio, floor = minRetryBudget} = options;
	const {windowMs = retryBudgetWindowMs} = options;
	const number = Math.floor((now * partsPerWindow) / windowMs);
	const parts: BudgetPart[] = [];
	let requests = message === 'request' ? 1 : 0;
	let retries = message === 'retry' ? 1 : 0;
	let current = {number, requests, retries};
	for (const part of budget?.parts ?? []) {
		if (part.number <= number - partsPerWindow || part.number > number) {
			continue;
		}

		requests += part.requests;
		retries += part.retries;
		if (part.number < number) {
			parts.push(part);
		} else {
			current = {
				number,
				requests: part.requests + current.requests,
				retries: part.retries + current.retries,
			};
		}
	}

	parts.push(current);
	return {tokens: Math.max(0, floor + share * requests - retries), parts};
}
