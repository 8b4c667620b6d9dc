import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {maxManifestBytes} from '../../../protocol/constants.js';
import {readRequestBody} from '../read-request-body.js';

/** Why a body is not taken. */
export type BodyRefusal = {
	/** HTTP status; 0 when the connection was cut and nobody waits. */
	readonly status: 0 | 400 | 413 | 415;
	readonly message: string;
};

function isJsonType(type: string | undefined): boolean {
	return type === undefined || /^application\/json\s*(?:;|$)/iv.test(type);
}

/**
 * Reads the text of a JSON body.
 *
 * @param request - the request
 * @returns the text, or why it is not taken
 */
export async function readJsonText(
	request: IncomingMessage,
): Promise<Result<string, BodyRefusal>> {
	const type = request.headers['content-type'];
	if (!isJsonType(type)) {
		const message = `content-type ${JSON.stringify(type)} is not application/json`;
		return err({status: 415, message});
	}

	const read = await readRequestBody(request, {
		maxBytes: maxManifestBytes,
		bufferLimitBytes: maxManifestBytes,
	});
	if (read.kind === 'refused') {
		return read.reason === 'cancelled'
			? err({status: 0, message: 'the body was cut short'})
			: err({
					status: 413,
					message: `the body is over ${maxManifestBytes} bytes`,
				});
	}

	return read.body instanceof Uint8Array
		? ok(Buffer.from(read.body).toString())
		: err({status: 413, message: 'the body is too large'});
}
