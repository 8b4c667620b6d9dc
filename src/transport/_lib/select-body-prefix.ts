import {bodyPrefixBytes, maxBufferedBytes} from '../../protocol/constants.js';

/**
 * Selects the part of a body by which its request is recognized when it comes
 * again.
 *
 * @param body - the whole body
 * @returns the body if it is at most `maxBufferedBytes` long; otherwise its first
 * `bodyPrefixBytes`, which are known of a streamed body too
 */
export function selectBodyPrefix(body: Uint8Array): Uint8Array {
	return body.length > maxBufferedBytes
		? body.subarray(0, bodyPrefixBytes)
		: body;
}
