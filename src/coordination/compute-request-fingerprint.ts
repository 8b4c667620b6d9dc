import {createHash} from 'node:crypto';

/** Properties by which a request is recognized when it comes again. */
export type RequestIdentity = {
	readonly method: string;
	/** Host name that the request is for. */
	readonly host: string;
	/** Path with query. */
	readonly path: string;
	/** Service on whose host the request originated, if known. */
	readonly origin: string | undefined;
	/** Length of the body as stated by the sender, bytes; undefined when it is not stated. */
	readonly bodyBytes: number | undefined;
	/** The body, or the first part of a long one. */
	readonly body: Uint8Array;
};

/** Length of a fingerprint; 132 bits, so that nobody finds two requests with the same one. */
const fingerprintLength = 22;

/**
 * Computes the fingerprint of a request: the same for each repetition of the
 * request, whichever node receives it and whatever its identifier.
 *
 * @param identity - see `RequestIdentity`
 * @returns the fingerprint, 22 characters
 * @example
 * computeRequestFingerprint({method: 'GET', host: 'a', path: '/', origin: undefined, bodyBytes: 0, body});
 */
export function computeRequestFingerprint(identity: RequestIdentity): string {
	const {method, host, path, origin, bodyBytes, body} = identity;
	return createHash('sha256')
		.update(
			JSON.stringify([method, host, path, origin ?? null, bodyBytes ?? null]),
		)
		.update(body)
		.digest('base64url')
		.slice(0, fingerprintLength);
}
