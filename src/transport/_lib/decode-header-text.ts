import {Buffer} from 'node:buffer';
import {encodedTextPrefix} from './encode-header-text.js';

/**
 * Decodes the value of a header that `encodeHeaderText` has encoded.
 *
 * @param value - header value as received
 * @returns the text
 * @example
 * decodeHeaderText('utf-16le;base64,rCA='); // '\u20AC'
 */
export function decodeHeaderText(value: string): string {
	return value.startsWith(encodedTextPrefix)
		? Buffer.from(value.slice(encodedTextPrefix.length), 'base64').toString(
				'utf16le',
			)
		: value;
}
