import type {Dispatcher} from 'undici';
import type {Attempt} from '../../protocol/attempt.js';
import {
	deadlineHeader,
	depthHeader,
	requestIdHeader,
	traceparentHeader,
} from '../../protocol/request.js';
import {copyHeaders} from './copy-headers.js';
import {selectBody} from './select-body.js';

/**
 * Creates the request that a gate sends to its upstream for an attempt.
 *
 * @param attempt - the attempt
 * @param remainingMs - time left until the deadline
 * @param traceparent - trace context of the gate's hop
 * @returns the request for a connection pool
 */
export function createUpstreamRequest(
	attempt: Attempt,
	remainingMs: number,
	traceparent: string | undefined,
): Dispatcher.DispatchOptions {
	const headers = copyHeaders(attempt.headers);
	headers[requestIdHeader] = attempt.requestId;
	headers[deadlineHeader] = String(Math.floor(remainingMs));
	headers[depthHeader] = String(attempt.depth + 1);
	if (traceparent !== undefined) {
		headers[traceparentHeader] = traceparent;
	}

	return {
		method: attempt.method,
		path: attempt.path,
		headers,
		body: selectBody(attempt.body, headers),
		idempotent: false,
	};
}
