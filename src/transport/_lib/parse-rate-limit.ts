import type {StatedRate} from '../../protocol/edge.js';

/** Longest unreadable text that is kept, characters. */
const maxTextLength = 64;

/** Up to a million requests a second; more is taken for a mistake. */
const ratePattern = /^(?:\d{1,6}(?:\.\d{0,20})?|\.\d{1,20})$/v;

/**
 * Parses the rate limit that an upstream states in a header.
 *
 * @param value - header value; several values are not a rate
 * @returns the rate, none, or the text that is not a rate
 */
export function parseRateLimit(
	value: string | string[] | undefined,
): StatedRate {
	if (value === undefined) {
		return {kind: 'none'};
	}

	const text = String(value).trim();
	return ratePattern.test(text)
		? {kind: 'named', perSecond: Number(text)}
		: {kind: 'unreadable', text: text.slice(0, maxTextLength)};
}
