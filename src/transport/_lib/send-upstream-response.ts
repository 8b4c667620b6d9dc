import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {copyHeaders} from './copy-headers.js';

/** A response of an upstream. */
export type UpstreamResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array | Readable;
};

/**
 * Forwards an upstream's response. If its stream fails, the connection is
 * closed, so that the client does not mistake a truncated body for a complete
 * one.
 *
 * @param response - the response to the client
 * @param upstreamResponse - the response of the upstream
 * @param ownHeaders - headers of this system, to be added
 */
export async function sendUpstreamResponse(
	response: ServerResponse,
	upstreamResponse: UpstreamResponse,
	ownHeaders: Readonly<Record<string, string>>,
): Promise<void> {
	const {status, body} = upstreamResponse;
	const headers = Object.assign(
		copyHeaders(upstreamResponse.headers),
		ownHeaders,
	);
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
