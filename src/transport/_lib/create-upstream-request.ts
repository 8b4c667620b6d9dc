import type {Attempt} from '../../protocol/attempt.js';
import {copyHeaders} from './copy-headers.js';
import {selectBody} from './select-body.js';
import type {OutgoingRequest} from './send-request.js';

/**
 * Creates the request that a gate sends to its upstream for an attempt, without
 * the headers that the gate sets when it sends it. A tenant header of the client
 * is removed, as an upstream trusts it.
 *
 * @param attempt - the attempt
 * @param tenantHeader - name of the tenant header, in lower case
 * @returns the request
 */
export function createUpstreamRequest(
	attempt: Attempt,
	tenantHeader: string,
): OutgoingRequest {
	const headers = copyHeaders(attempt.headers);
	if (headers[tenantHeader] !== undefined) {
		Reflect.deleteProperty(headers, tenantHeader);
	}

	return {
		method: attempt.method,
		path: attempt.path,
		headers,
		body: selectBody(attempt.body, headers),
	};
}
