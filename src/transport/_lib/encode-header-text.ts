import {Buffer} from 'node:buffer';
import {isHeaderText} from './is-header-text.js';

/** Prefix of a text that is encoded. */
export const encodedTextPrefix = 'utf-16le;base64,';

/**
 * Encodes a text of others, such as a name, as the value of a header between
 * nodes. A text that a header can hold stays as it is, as nodes of earlier
 * versions send it.
 *
 * @param text - any text
 * @returns the header value
 * @example
 * encodeHeaderText('payables'); // 'payables'
 * encodeHeaderText('\u20AC'); // 'utf-16le;base64,rCA='
 */
export function encodeHeaderText(text: string): string {
	return isHeaderText(text) && !text.startsWith(encodedTextPrefix)
		? text
		: encodedTextPrefix + Buffer.from(text, 'utf16le').toString('base64');
}
