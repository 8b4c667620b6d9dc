import type {Attempt} from '../../protocol/attempt.js';
import type {Edge, UpstreamContext} from '../../protocol/edge.js';
import {copyHeaders} from './copy-headers.js';
import {selectBody} from './select-body.js';
import type {OutgoingRequest} from './send-request.js';

/**
 * Creates the request that a gate sends to its upstream for an attempt.
 *
 * @param attempt - the attempt
 * @param edge - header conventions of the upstream
 * @param context - see `UpstreamContext`
 * @returns the request
 */
export function createUpstreamRequest(
	attempt: Attempt,
	edge: Edge,
	context: UpstreamContext,
): OutgoingRequest {
	const headers = Object.assign(
		copyHeaders(attempt.headers),
		edge.createUpstreamHeaders(attempt, context),
	);
	return {
		method: attempt.method,
		path: attempt.path,
		headers,
		body: selectBody(attempt.body, headers),
	};
}
