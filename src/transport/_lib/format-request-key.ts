import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {
	readFingerprint,
	type FingerprintedRequest,
} from './read-fingerprint.js';

/** Length up to which a body is part of the key itself, bytes; a longer one takes the cost of its fingerprint. */
const maxInlineBodyBytes = 256;

/**
 * Formats a key that is the same for each repetition of a request, as its
 * fingerprint is, but costs no hash for a request with a short body or none.
 * Keys are compared within one process only.
 *
 * @param request - the request
 * @returns the key; undefined for a request without a known fingerprint
 */
export function formatRequestKey(
	request: FingerprintedRequest,
): string | undefined {
	const {method, headers, path, origin = '', body} = request;
	if (body instanceof Readable || body.length > maxInlineBodyBytes) {
		return readFingerprint(request);
	}

	const text = body.length > 0 ? Buffer.from(body).toString('latin1') : '';
	return `${method} ${headers.host ?? ''} ${path} ${origin} ${text}`;
}
