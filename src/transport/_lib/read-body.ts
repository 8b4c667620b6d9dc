import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

/**
 * Reads a whole request body into memory, up to a limit.
 *
 * @param request - the request
 * @param maxBytes - limit in bytes
 * @returns the body, or why there is none
 */
export async function readBody(
	request: IncomingMessage,
	maxBytes: number,
): Promise<Result<Uint8Array, 'too-large' | 'aborted'>> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > maxBytes) {
				return err('too-large');
			}

			chunks.push(chunk);
		}
	} catch {
		return err('aborted');
	}

	return ok(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
}
