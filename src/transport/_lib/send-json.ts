import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';

/**
 * Sends a JSON response.
 *
 * @param response - the response to send
 * @param status - HTTP status
 * @param value - JSON value
 * @param headers - additional headers
 */
export function sendJson(
	response: ServerResponse,
	status: number,
	value: unknown,
	headers: Readonly<Record<string, string>> = {},
): void {
	const text = `${JSON.stringify(value)}\n`;
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': String(Buffer.byteLength(text)),
		...headers,
	});
	response.end(text);
}
