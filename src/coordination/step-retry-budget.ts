import {
	retryBudgetFloor,
	retryBudgetShare,
	retryBudgetWindowMs,
} from '../protocol/constants.js';

/** Budget of retries of one team and service. */
export type RetryBudget = {
	/** Retries that may be made. */
	readonly tokens: number;
	/** Requests of about the last window. */
	readonly requests: number;
	/** When the tokens were counted, monotonic ms. */
	readonly at: number;
};

/** What a budget is told. */
export type RetryBudgetMessage = 'request' | 'retry' | 'tick';

/** Options of `stepRetryBudget`. */
export type RetryBudgetOptions = {
	/** Retries for each request; `retryBudgetShare` when absent. */
	readonly share?: number;
	/** Retries in a window without requests; `retryBudgetFloor` when absent. */
	readonly floor?: number;
	/** Time over which retries are counted, ms; `retryBudgetWindowMs` when absent. */
	readonly windowMs?: number;
};

/**
 * Advances a retry budget: each request adds a share of a token, each retry
 * takes one, and a few are added with time for services with little traffic.
 *
 * No more can be saved up than a window brings, so that retries over any window
 * stay below twice the share. Answers the load of upstreams that fail at once:
 * the repeats of all nodes together must not add to what made them fail.
 *
 * @param budget - the budget before, undefined when there is none
 * @param message - what happened
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
	const {share = retryBudgetShare, floor = retryBudgetFloor} = options;
	const {windowMs = retryBudgetWindowMs} = options;
	const before = budget ?? {tokens: floor, requests: 0, at: now};
	const elapsed = Math.min(1, (now - before.at) / windowMs);
	const requests =
		before.requests * (1 - elapsed) + (message === 'request' ? 1 : 0);
	const gained = elapsed * floor + (message === 'request' ? share : 0);
	const spent = message === 'retry' ? 1 : 0;
	const cap = floor + share * requests;
	const tokens = Math.min(cap, before.tokens + gained) - spent;
	return {tokens: Math.max(0, tokens), requests, at: now};
}
