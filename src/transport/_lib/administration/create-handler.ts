import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Logger} from '../../create-logger.js';
import {sendJson} from '../send-json.js';

/** A request with what polka has read of its URL. */
export type AdministrationRequest = IncomingMessage & {
	/** Named parts of the path, still encoded. */
	readonly params: Readonly<Record<string, string | string[]>>;
	/** Decoded query; a key given twice has a list. */
	readonly query: Readonly<Record<string, unknown>>;
};

/** Handles one request; may fail. */
export type Handler = (
	request: AdministrationRequest,
	response: ServerResponse,
) => void | Promise<void>;

/**
 * Creates a handler whose failures are answered and logged.
 *
 * Without it a failure would end the process.
 *
 * @param logger - where failures are logged
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
