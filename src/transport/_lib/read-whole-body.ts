import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';

/**
 * Reads the whole body of a response. If a streamed body is too long, the rest is
 * not read and its connection is closed.
 *
 * @param body - the body, whole or as a stream
 * @param maxBytes - longest body that is accepted
 * @returns the whole body, or undefined if it is longer
 * @throws if the stream fails
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
