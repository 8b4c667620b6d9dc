import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Logger} from '../../create-logger.js';
import {sendJson} from '../send-json.js';

/** A request with the path parameters and the query that polka has parsed. */
export type AdministrationRequest = IncomingMessage & {
	/** Path parameters, still percent-encoded. */
	readonly params: Readonly<Record<string, string | string[]>>;
	/** Decoded query; a repeated key has an array as its value. */
	readonly query: Readonly<Record<string, unknown>>;
};

/** Handles one request; may throw or reject. */
export type Handler = (
	request: AdministrationRequest,
	response: ServerResponse,
) => void | Promise<void>;

/**
 * Wraps a handler so that its errors are logged and answered with status 500,
 * or by closing the connection if the response has already begun.
 *
 * Without the wrapper, an error would terminate the process.
 *
 * @param logger - logger for errors
 * @param handler - handles the request
 * @returns the handler to register
 */
export function createHandler(
	logger: Logger,
	handler: Handler,
): (request: AdministrationRequest, response: ServerResponse) => void {
	async function run(
		request: AdministrationRequest,
		response: ServerResponse,
	): Promise<void> {
		try {
			await handler(request, response);
		} catch (error) {
			logger.error('administration request failed', {
				method: request.method,
				url: request.url,
				error: String(error),
			});
			if (response.headersSent) {
				response.destroy();
			} else {
				sendJson(response, 500, {error: 'internal error'});
			}
		}
	}

	return (request, response) => {
		void run(request, response);
	};
}
