import type {Readable} from 'node:stream';

/**
 * Reads and discards the rest of a request's body, so that its connection can be
 * reused for further requests.
 *
 * @param body - a body that is no longer needed
 */
export function discardBody(body: Readable): void {
	body.on('error', () => {
		// If a body is truncated or too long, its connection is closed.
	});
	body.resume();
}
