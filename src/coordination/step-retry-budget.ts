import {
	retryBudgetFloor,
	retryBudgetShare,
	retryBudgetWindowMs,
} from '../protocol/constants.js';

/** Budget of retries of one team and service. */
export type RetryBudget = {
	/** Retries that may be made. */
	readonly tokens: number;
	/** When the tokens were counted, monotonic ms. */
	readonly at: number;
};

/** What a budget is told. */
export type RetryBudgetMessage = 'request' | 'retry' | 'tick';

/** Tokens gained in a second without any requests. */
const floorPerMs = retryBudgetFloor / retryBudgetWindowMs;

/** Most tokens that can be saved up. */
const maxTokens = 100;

/**
 * Advances a retry budget: each request adds a share of a token, each retry
 * takes one, and a few are added with time for services with little traffic.
 *
 * @param budget - the budget before, undefined when there is none
 * @param message - what happened
 * @param now - monotonic ms
 * @returns the budget after
 * @example
 * stepRetryBudget(undefined, 'retry', 0).tokens; // 9
 */
export function stepRetryBudget(
	budget: RetryBudget | undefined,
	message: RetryBudgetMessage,
	now: number,
): RetryBudget {
	const {tokens, at} = budget ?? {tokens: retryBudgetFloor, at: now};
	const withTime =
		tokens < retryBudgetFloor
			? Math.min(retryBudgetFloor, tokens + (now - at) * floorPerMs)
			: tokens;
	switch (message) {
		case 'request': {
			const sum = withTime + retryBudgetShare;
			return {tokens: Math.min(maxTokens, sum), at: now};
		}

		case 'retry': {
			return {tokens: Math.max(0, withTime - 1), at: now};
		}

		case 'tick': {
			return {tokens: withTime, at: now};
		}
	}
}
