import {Readable} from 'node:stream';
import type {IncomingHttpHeaders} from 'node:http';

/**
 * Selects the body to send for one that was received, with a length to match.
 *
 * @param body - the body, empty when there is none
 * @param headers - headers to send; the length in them is set to that of the
 * body, and left as it is for a stream
 * @returns the body, or undefined when there is none
 */
export function selectBody(
	body: Uint8Array | Readable,
	headers: IncomingHttpHeaders,
): Uint8Array | Readable | undefined {
	if (body instanceof Readable) {
		return body;
	}

	if (body.length === 0 && headers['content-length'] !== '0') {
		delete headers['content-length'];
		return undefined;
	}

	headers['content-length'] = String(body.length);
	return body;
}
