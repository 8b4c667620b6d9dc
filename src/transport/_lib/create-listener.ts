import type {RequestListener} from 'node:http';
import type {Polka, Request} from 'polka';

/**
 * Creates a listener for a server of our own from a polka application.
 *
 * @param app - the application
 * @returns the listener
 */
export function createListener(app: Polka): RequestListener {
	return (request, response) => {
		// Polka adds the fields of its own request type before any handler runs.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		app.handler(request as Request, response);
	};
}
