import type {IncomingHttpHeaders} from 'node:http';
import {emptyReport, type Edge} from '../protocol/edge.js';
import {
	authorizationHeader,
	deadlineHeader,
	depthHeader,
	idempotencyKeyHeader,
	leavingHeader,
	rateLimitHeader,
	requestIdHeader,
	shedHeader,
	tenantHeader,
	traceparentHeader,
	upstreamLoadHeader,
} from '../protocol/request.js';
import {encodeHeaderText} from './_lib/encode-header-text.js';
import {parseRateLimit} from './_lib/parse-rate-limit.js';
import {parseUpstreamLoad} from './_lib/parse-upstream-load.js';
import {readBearerKey} from './_lib/read-bearer-key.js';

const statusServiceUnavailable = 503;

function readNumber(
	headers: IncomingHttpHeaders,
	name: string,
): number | undefined {
	const value = headers[name];
	const number = Number(value);
	return value !== undefined && number >= 0 ? number : undefined;
}

/** Reads and writes the project's own headers for callers and upstreams. */
export const defaultEdge: Edge = {
	refusesAmbiguousPaths: true,
	identifiesResponses: false,
	keyHeader: authorizationHeader,
	tenantHeader,
	readCallerParameters(headers) {
		const depth = readNumber(headers, depthHeader) ?? 0;
		const key = headers[idempotencyKeyHeader];
		return {
			requestId: undefined,
			deadlineMs: readNumber(headers, deadlineHeader),
			depth: Number.isInteger(depth) ? depth : 0,
			idempotencyKey: typeof key === 'string' ? key : undefined,
		};
	},
	readKey: (rawHeaders) => readBearerKey(rawHeaders, authorizationHeader),
	createUpstreamHeaders(attempt, {remainingMs, traceparent}) {
		return {
			[requestIdHeader]: attempt.requestId,
			[deadlineHeader]: String(Math.floor(remainingMs)),
			[depthHeader]: String(attempt.depth + 1),
			...(traceparent !== undefined && {[traceparentHeader]: traceparent}),
			...(attempt.tenant !== undefined && {
				[tenantHeader]: encodeHeaderText(attempt.tenant),
			}),
		};
	},
	classifyResponse({status, headers}, attempt) {
		const isShed =
			status === statusServiceUnavailable &&
			headers[shedHeader] === 'not-run' &&
			attempt.sheddingMeansNotRun;
		return isShed ? 'shed' : 'answered';
	},
	readLoad: (headers) => parseUpstreamLoad(headers[upstreamLoadHeader]),
	readReport(headers) {
		const headerNames = [rateLimitHeader, leavingHeader].filter(
			(name) => headers[name] !== undefined,
		);
		return headerNames.length === 0
			? emptyReport
			: {
					rateLimit: parseRateLimit(headers[rateLimitHeader]),
					isLeaving: headers[leavingHeader] === '1',
					headerNames,
				};
	},
	formatRetryAfter: (seconds) => String(Math.ceil(seconds)),
};
