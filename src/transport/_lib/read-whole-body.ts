import {Readable} from 'node:stream';
import {createPieceBuffer} from './create-piece-buffer.js';

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

	const received = createPieceBuffer();
	// Leaving the loop destroys the stream, and with it the connection.
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		received.add(chunk);
		if (received.readSize() > maxBytes) {
			return undefined;
		}
	}

	return received.take();
}
