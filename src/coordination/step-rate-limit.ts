import {computeRateTokens} from './compute-rate-tokens.js';
import type {RateLimit} from './rate-limit.js';

/** What the rate limit of an upstream can be told. */
export type RateLimitMessage =
	/** An answer names a limit. */
	| {readonly kind: 'named'; readonly perSecond: number}
	/** An answer to a request that was sent at a time, monotonic ms, names none. */
	| {readonly kind: 'omitted'; readonly sentAt: number}
	/** A request is sent. */
	| {readonly kind: 'sent'};

/**
 * Advances the rate limit of an upstream by one message, as a token bucket.
 *
 * Answers the load of an upstream in need, which names the rate that it can
 * bear. The rate holds from the first answer that names it, with no allowance
 * from before, and ends with an answer that names none. An answer to a request
 * that was sent before the limit was last named ends nothing: it may have been
 * overtaken.
 *
 * @param limit - the limit before, undefined when there is none
 * @param message - what happened
 * @param now - monotonic ms
 * @returns the limit after, undefined when there is none
 * @example
 * stepRateLimit(undefined, {kind: 'named', perSecond: 10}, 0)?.tokens; // 0
 */
export function stepRateLimit(
	limit: RateLimit | undefined,
	message: RateLimitMessage,
	now: number,
): RateLimit | undefined {
	const tokens = limit ? computeRateTokens(limit, now) : 0;
	switch (message.kind) {
		case 'named': {
			const {perSecond} = message;
			return {perSecond, tokens, refilledAt: now, namedAt: now};
		}

		case 'omitted': {
			return limit && message.sentAt > limit.namedAt ? undefined : limit;
		}

		case 'sent': {
			return limit && {...limit, tokens: tokens - 1, refilledAt: now};
		}
	}
}
