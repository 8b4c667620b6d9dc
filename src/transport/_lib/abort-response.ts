import type {ServerResponse} from 'node:http';
import type {Logger} from '../create-logger.js';
import {readErrorCode} from './read-error-code.js';

/** Why a connection is closed before a request has a complete response. */
export type AbortCause =
	| {readonly kind: 'sender-left'}
	| {readonly kind: 'body-refused'; readonly reason: string}
	| {readonly kind: 'failed'; readonly error: unknown};

/** Options of `abortResponse`. */
export type AbortOptions = {
	readonly cause: AbortCause;
	readonly requestId: string | undefined;
	readonly logger: Logger;
};

/** Node's error code for a stream whose reader closed before its end. */
const prematureCloseCode = 'ERR_STREAM_PREMATURE_CLOSE';

function isClosedByClient(
	response: ServerResponse,
	cause: AbortCause,
): boolean {
	switch (cause.kind) {
		case 'sender-left': {
			return true;
		}

		case 'body-refused': {
			return response.destroyed;
		}

		case 'failed': {
			return readErrorCode(cause.error) === prematureCloseCode;
		}
	}
}

/**
 * Closes the connection of a request that has no complete response and logs the
 * cause, as a warning unless the client had closed the connection before.
 *
 * @param response - the response that is missing or incomplete
 * @param options - see `AbortOptions`
 */
export function abortResponse(
	response: ServerResponse,
	{cause, requestId, logger}: AbortOptions,
): void {
	const level = isClosedByClient(response, cause) ? 'debug' : 'warn';
	logger[level]('connection closed unanswered', {
		requestId,
		isPartSent: response.headersSent,
		cause: cause.kind,
		...(cause.kind === 'failed' && {error: String(cause.error)}),
		...(cause.kind === 'body-refused' && {reason: cause.reason}),
	});
	response.destroy();
}
