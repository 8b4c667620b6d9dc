import type {Attempt} from '../../protocol/attempt.js';
import {copyHeaders} from './copy-headers.js';
import {selectBody} from './select-body.js';
import type {OutgoingRequest} from './send-request.js';

/**
 * Creates the request that a gate sends to its upstream for an attempt, without
 * the headers that the gate sets when it sends it.
 *
 * @param attempt - the attempt
 * @returns the request
 */
export function createUpstreamRequest(attempt: Attempt): OutgoingRequest {
	const headers = copyHeaders(attempt.headers);
	return {
		method: attempt.method,
		path: attempt.path,
		headers,
		body: selectBody(attempt.body, headers),
	};
}
