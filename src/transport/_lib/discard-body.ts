import type {Readable} from 'node:stream';

/**
 * Reads the rest of a request's body that nobody wants any more, so that its
 * connection can carry further requests.
 *
 * @param body - a body that is not sent on any more
 */
export function discardBody(body: Readable): void {
	body.on('error', () => {
		// A body that ends early or is too long ends its connection.
	});
	body.resume();
}
