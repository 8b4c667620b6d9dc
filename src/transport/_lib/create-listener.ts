import type {RequestListener} from 'node:http';
import type {Polka, Request} from 'polka';

/**
 * Creates a request listener from a polka application, for use with
 * `startServer`.
 *
 * @param app - the polka application
 * @returns the listener
 */
export function createListener(app: Polka): RequestListener {
	return (request, response) => {
		// Polka adds the fields of its request type before any handler runs.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		app.handler(request as Request, response);
	};
}
