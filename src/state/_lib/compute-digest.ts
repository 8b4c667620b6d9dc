import {createHash} from 'node:crypto';
import canonicalize from 'canonicalize';

/**
 * Computes the SHA-256 digest of a JSON value in canonical form (RFC 8785).
 *
 * @param value - any JSON value
 * @returns the digest, 64 hexadecimal digits
 */
export function computeDigest(value: unknown): string {
	const text = canonicalize(value) ?? '';
	return createHash('sha256').update(text).digest('hex');
}
