import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';

/**
 * Reads the body of an answer to its end, unless it is too long; then it is cut.
 *
 * @param body - the body, whole or as a stream
 * @param maxBytes - longest body that is taken
 * @returns the whole body, or undefined when it is longer
 * @throws when the stream fails
 */
export async function readWholeBody(
	body: Uint8Array | Readable,
	maxBytes: number,
): Promise<Uint8Array | undefined> {
	if (!(body instanceof Readable)) {
		return body.length > maxBytes ? undefined : body;
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	// Leaving the loop destroys the stream, and with it the connection.
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxBytes) {
			return undefined;
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}
