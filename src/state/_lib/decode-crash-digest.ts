import {decodeValue, type Decoded} from '../../protocol/decode-value.js';
import {digestSchema} from '../../protocol/member.js';

const optionalDigestSchema = digestSchema.optional();

/** Decodes the digest of crash records in a message. */
export function decodeCrashDigest(
	digest: unknown,
): Decoded<number | undefined> {
	return decodeValue(optionalDigestSchema, digest, 'crashDigest');
}
