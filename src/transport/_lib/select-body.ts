import {Readable} from 'node:stream';
import type {IncomingHttpHeaders} from 'node:http';

/**
 * Selects the body to send for one that was received, with a length to match.
 *
 * @param body - the body, empty when there is none
 * @param headers - headers to send; the length is removed from them unless it
 * is that of a stream
 * @returns the body, or undefined when there is none
 */
export function selectBody(
	body: Uint8Array | Readable,
	headers: IncomingHttpHeaders,
): Uint8Array | Readable | undefined {
	if (body instanceof Readable) {
		return body;
	}

	delete headers['content-length'];
	return body.length > 0 ? body : undefined;
}
