import type {ClientRequest, InformationEvent} from 'node:http';
import {
	maxInterimResponsesPerSecond,
	msPerSecond,
} from '../../protocol/constants.js';

/** Options of `handleInterimResponses`. */
export type InterimOptions = {
	/** Called with each interim response (status 1xx). */
	readonly onInterim?: ((information: InformationEvent) => void) | undefined;
	/** Monotonic time, ms; default `performance.now`. */
	readonly now?: () => number;
};

/**
 * Handles the interim responses to a request, and destroys it when more than
 * `maxInterimResponsesPerSecond` arrive within a second: Node.js reads thousands
 * of them in one turn, in which nothing else is handled.
 *
 * @param request - the request, before it has a response
 * @param options - see `InterimOptions`
 */
export function handleInterimResponses(
	request: ClientRequest,
	{onInterim, now = () => performance.now()}: InterimOptions,
): void {
	let windowStartedAt = -Infinity;
	let count = 0;
	request.on('information', (information) => {
		if (request.destroyed) {
			return;
		}

		const time = now();
		if (time - windowStartedAt >= msPerSecond) {
			windowStartedAt = time;
			count = 0;
		}

		count++;
		if (count > maxInterimResponsesPerSecond) {
			request.destroy(new Error('too many interim responses'));
			return;
		}

		onInterim?.(information);
	});
}
