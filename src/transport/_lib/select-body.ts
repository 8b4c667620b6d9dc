import {Readable} from 'node:stream';
import type {IncomingHttpHeaders} from 'node:http';

/**
 * Selects the body to forward, and sets the headers that delimit it.
 *
 * @param body - the body as received, empty if there is none
 * @param headers - headers to send; their `content-length` is set to the length
 * of the body; for an empty body it is removed unless it is `0`; a stream without
 * it is sent in chunks, which Node.js does by itself only for some methods
 * @returns the body, or undefined if there is none
 */
export function selectBody(
	body: Uint8Array | Readable,
	headers: IncomingHttpHeaders,
): Uint8Array | Readable | undefined {
	if (body instanceof Readable) {
		if (headers['content-length'] === undefined) {
			headers['transfer-encoding'] = 'chunked';
		}

		return body;
	}

	if (body.length === 0 && headers['content-length'] !== '0') {
		delete headers['content-length'];
		return undefined;
	}

	headers['content-length'] = String(body.length);
	return body;
}
