import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {copyHeaders} from './copy-headers.js';

/** An answer of an upstream. */
export type UpstreamResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array | Readable;
};

/**
 * Sends an upstream's answer on; a stream that fails breaks the connection, so
 * that its reader does not take a part for the whole.
 *
 * @param response - where to send it
 * @param answer - the answer
 * @param own - this system's headers
 */
export async function sendUpstreamResponse(
	response: ServerResponse,
	answer: UpstreamResponse,
	own: Readonly<Record<string, string>>,
): Promise<void> {
	const {status, body} = answer;
	const headers = Object.assign(copyHeaders(answer.headers), own);
	if (body instanceof Readable) {
		response.writeHead(status, headers);
		await pipeline(body, response);
		return;
	}

	if (body.length > 0) {
		headers['content-length'] = String(body.length);
	}

	response.writeHead(status, headers);
	response.end(body);
}
