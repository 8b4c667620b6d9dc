import {Readable} from 'node:stream';
import {computeRequestFingerprint} from '../../coordination/compute-request-fingerprint.js';
import type {Attempt} from '../../protocol/attempt.js';
import {selectBodyPrefix} from './select-body-prefix.js';

/** The properties of an attempt that its fingerprint is made of. */
export type FingerprintedRequest = Pick<
	Attempt,
	'method' | 'headers' | 'path' | 'origin' | 'body' | 'fingerprint'
>;

const fingerprints = new WeakMap<FingerprintedRequest, string>();

/**
 * Reads the fingerprint of a request. It is computed when it is first needed,
 * which is only when an upstream has crashed or a line is logged.
 *
 * @param request - the request
 * @returns the fingerprint; undefined for a streamed body whose sender has not
 * stated it
 */
export function readFingerprint(
	request: FingerprintedRequest,
): string | undefined {
	const {method, headers, path, origin, body} = request;
	if (request.fingerprint !== undefined || body instanceof Readable) {
		return request.fingerprint;
	}

	const known = fingerprints.get(request);
	if (known !== undefined) {
		return known;
	}

	const fingerprint = computeRequestFingerprint({
		method,
		host: headers.host ?? '',
		path,
		origin,
		bodyBytes: body.length,
		body: selectBodyPrefix(body),
	});
	fingerprints.set(request, fingerprint);
	return fingerprint;
}
