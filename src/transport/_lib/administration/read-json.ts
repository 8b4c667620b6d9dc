import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {maxManifestBytes} from '../../../protocol/constants.js';
import {readBody} from '../read-body.js';
import {sendJson} from '../send-json.js';

/**
 * Reads a JSON body; answers the request itself when there is none.
 *
 * @param request - the request
 * @param response - where a refusal is sent
 * @returns the value, or undefined when the request was refused
 */
export async function readJson(
	request: IncomingMessage,
	response: ServerResponse,
): Promise<{readonly value: unknown} | undefined> {
	const body = await readBody(request, maxManifestBytes);
	if (body.isErr()) {
		sendJson(response, 413, {error: `body over ${maxManifestBytes} bytes`});
		return undefined;
	}

	try {
		return {value: JSON.parse(Buffer.from(body.value).toString()) as unknown};
	} catch (error) {
		sendJson(response, 400, {error: `not JSON: ${String(error)}`});
		return undefined;
	}
}
