import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {pipeline, Transform, type Readable} from 'node:stream';
import {maxBufferedBytes} from '../../protocol/constants.js';

/** Options of `readRequestBody`. */
export type ReadRequestBodyOptions = {
	/** Longest body that is taken. */
	readonly maxBytes: number;
	/** Longest body that is held in memory; `maxBufferedBytes` when absent. */
	readonly bufferBytes?: number;
};

/** A request's body. */
export type BodyRead =
	/** The whole body, or a stream when it is longer than is held in memory. */
	| {readonly kind: 'read'; readonly body: Uint8Array | Readable}
	| {
			readonly kind: 'refused';
			readonly reason: 'body-too-large' | 'cancelled';
	  };

const emptyBody = new Uint8Array();

/** Passes a body on, and fails when it is longer than allowed. */
function limitBody(request: IncomingMessage, maxBytes: number): Readable {
	let size = 0;
	const limit = new Transform({
		transform(chunk: Uint8Array, _encoding, callback) {
			size += chunk.length;
			callback(size > maxBytes ? new Error('body is too large') : null, chunk);
		},
	});
	pipeline(request, limit, () => {
		// The reader of the limited body sees the failure.
	});
	return limit;
}

/**
 * Reads a request's body: whole when it is short, else as a stream with back
 * pressure that fails when the body is cut or too long.
 *
 * @param request - the request
 * @param options - see `ReadRequestBodyOptions`
 * @returns the body, or why there is none
 */
export async function readRequestBody(
	request: IncomingMessage,
	options: ReadRequestBodyOptions,
): Promise<BodyRead> {
	const {maxBytes, bufferBytes = maxBufferedBytes} = options;
	const {'content-length': length, 'transfer-encoding': coding} =
		request.headers;
	if (length === undefined && coding === undefined) {
		return {kind: 'read', body: emptyBody};
	}

	if (Number(length) > maxBytes) {
		return {kind: 'refused', reason: 'body-too-large'};
	}

	return Number(length) > bufferBytes
		? {kind: 'read', body: limitBody(request, maxBytes)}
		: collectBody(request, maxBytes, bufferBytes);
}

async function collectBody(
	request: IncomingMessage,
	maxBytes: number,
	bufferBytes: number,
): Promise<BodyRead> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	return new Promise((resolve) => {
		const end = (result: BodyRead): void => {
			request.off('data', handleData);
			request.off('end', handleEnd);
			request.off('close', handleClose);
			resolve(result);
		};

		const handleData = (chunk: Uint8Array): void => {
			chunks.push(chunk);
			size += chunk.length;
			if (size > maxBytes) {
				end({kind: 'refused', reason: 'body-too-large'});
			} else if (size > bufferBytes) {
				request.pause();
				request.unshift(Buffer.concat(chunks));
				end({kind: 'read', body: limitBody(request, maxBytes)});
			}
		};

		const handleEnd = (): void => {
			const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
			end({kind: 'read', body});
		};

		const handleClose = (): void => {
			end({kind: 'refused', reason: 'cancelled'});
		};

		request.on('data', handleData);
		request.on('end', handleEnd);
		request.on('close', handleClose);
		request.on('error', handleClose);
	});
}
