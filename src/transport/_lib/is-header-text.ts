/** Characters of a header value, without white space at its ends, which a recipient drops. */
const headerTextPattern =
	/^(?:[!-~\u0080-\u00FF](?:[\t -~\u0080-\u00FF]*[!-~\u0080-\u00FF])?)?$/v;

/**
 * Returns whether a header can hold a text, so that it arrives as it is.
 *
 * @param text - the text
 * @example
 * isHeaderText('caf\u00E9'); // true
 * isHeaderText('\u20AC'); // false
 */
export function isHeaderText(text: string): boolean {
	return headerTextPattern.test(text);
}
