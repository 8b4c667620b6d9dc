import {computeRateTokens} from './compute-rate-tokens.js';
import type {RateLimit} from './rate-limit.js';

/** Messages to the rate limit of an upstream. */
export type RateLimitMessage =
	/** An answer reports a limit. */
	| {readonly kind: 'named'; readonly perSecond: number}
	/** An answer to a request sent at the given time, monotonic ms, reports no limit. */
	| {readonly kind: 'omitted'; readonly sentAt: number}
	/** A request is sent. */
	| {readonly kind: 'sent'};

/**
 * Advances the rate limit of an upstream by one message, as a token bucket.
 *
 * Load pattern: an overloaded upstream that reports the rate it can sustain. The
 * limit applies from the first answer that reports it, with no tokens from
 * before, and ends with an answer that reports none. An answer to a request sent
 * before the limit was last reported does not end the limit, because answers may
 * arrive out of order.
 *
 * @param limit - the limit before, undefined when there is none
 * @param message - the event
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
