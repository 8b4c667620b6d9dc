import type {RateLimitField} from '../../protocol/edge.js';

/** Maximum length of an unreadable text that is kept, characters. */
const maxTextLength = 64;

/** Accepts rates below a million requests per second; larger values are treated as errors. */
const ratePattern = /^(?:\d{1,6}(?:\.\d{0,20})?|\.\d{1,20})$/v;

/**
 * Parses a rate limit that an upstream states in a header.
 *
 * @param value - header value; multiple values are unreadable
 * @returns the rate in requests per second, `none` without a header, or the unreadable text
 */
export function parseRateLimit(
	value: string | string[] | undefined,
): RateLimitField {
	if (value === undefined) {
		return {kind: 'none'};
	}

	const text = String(value).trim();
	return ratePattern.test(text)
		? {kind: 'named', perSecond: Number(text)}
		: {kind: 'unreadable', text: text.slice(0, maxTextLength)};
}
