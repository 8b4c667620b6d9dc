import {createHash} from 'node:crypto';

/**
 * Computes the SHA-256 digest of a text.
 *
 * @param text - the text
 * @returns the digest, 64 hexadecimal digits
 */
export function computeTextDigest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
