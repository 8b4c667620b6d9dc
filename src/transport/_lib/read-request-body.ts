import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {pipeline, Transform, type Readable} from 'node:stream';
import {maxBufferedBytes, maxHeldBodyBytes} from '../../protocol/constants.js';
import type {BodyMemoryBudget} from './create-body-memory-budget.js';
import {discardBody} from './discard-body.js';

/** Options of `readRequestBody`. */
export type ReadRequestBodyOptions = {
	/** Longest body that is taken. */
	readonly maxBytes: number;
	/** Longest body that is held in memory; `maxBufferedBytes` when absent. */
	readonly bufferLimitBytes?: number;
	/** Where longer bodies of a known length are held too; they are streamed when absent. */
	readonly memory?: BodyMemoryBudget;
	/** Time for a body that is held to arrive, ms; without bound when absent. */
	readonly timeoutMs?: number;
};

/** A request's body. */
export type BodyReadResult =
	/** The whole body, or a stream when it is longer than is held in memory. */
	| {
			readonly kind: 'read';
			readonly body: Uint8Array | Readable;
			/** What it has taken of the memory, to be given back at its end. */
			readonly reservedBytes: number;
	  }
	| {
			readonly kind: 'refused';
			readonly reason: 'body-too-large' | 'cancelled' | 'deadline';
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
 * Reads a request's body: whole when it is short or finds memory, else as a
 * stream with back pressure that fails when the body is cut or too long.
 *
 * What is held whole can be offered to another host after a refusal, and takes
 * no slot while it comes in over a thin link.
 *
 * @param request - the request
 * @param options - see `ReadRequestBodyOptions`
 * @returns the body, or why there is none
 */
export async function readRequestBody(
	request: IncomingMessage,
	options: ReadRequestBodyOptions,
): Promise<BodyReadResult> {
	const {maxBytes, bufferLimitBytes = maxBufferedBytes, memory} = options;
	const {'content-length': length, 'transfer-encoding': coding} =
		request.headers;
	if (length === undefined && coding === undefined) {
		return {kind: 'read', body: emptyBody, reservedBytes: 0};
	}

	const bytes = Number(length);
	if (bytes > maxBytes) {
		return {kind: 'refused', reason: 'body-too-large'};
	}

	if (!(bytes > bufferLimitBytes)) {
		return collectBody(request, {...options, bufferLimitBytes});
	}

	if (bytes > maxHeldBodyBytes || !memory?.tryReserve(bytes)) {
		return {kind: 'read', body: limitBody(request, maxBytes), reservedBytes: 0};
	}

	const read = await collectBody(request, {
		...options,
		bufferLimitBytes: bytes,
	});
	if (read.kind === 'refused') {
		memory.release(bytes);
		return read;
	}

	return {...read, reservedBytes: bytes};
}

/** Collects a body; one that turns out to be too long to be held is streamed. */
async function collectBody(
	request: IncomingMessage,
	options: ReadRequestBodyOptions & {readonly bufferBytes: number},
): Promise<BodyReadResult> {
	const {maxBytes, bufferLimitBytes, timeoutMs} = options;
	const chunks: Uint8Array[] = [];
	let size = 0;
	return new Promise((resolve) => {
		const end = (result: BodyReadResult): void => {
			request.off('data', handleData);
			request.off('end', handleEnd);
			request.off('close', handleClose);
			clearTimeout(timer);
			resolve(result);
		};

		const handleData = (chunk: Uint8Array): void => {
			chunks.push(chunk);
			size += chunk.length;
			if (size > maxBytes) {
				end({kind: 'refused', reason: 'body-too-large'});
			} else if (size > bufferLimitBytes) {
				request.pause();
				request.unshift(Buffer.concat(chunks));
				const body = limitBody(request, maxBytes);
				end({kind: 'read', body, reservedBytes: 0});
			}
		};

		const handleEnd = (): void => {
			const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
			end({kind: 'read', body, reservedBytes: 0});
		};

		const handleClose = (): void => {
			end({kind: 'refused', reason: 'cancelled'});
		};

		const handleTimeout = (): void => {
			discardBody(request);
			end({kind: 'refused', reason: 'deadline'});
		};

		const timer =
			timeoutMs === undefined
				? undefined
				: setTimeout(handleTimeout, timeoutMs);
		request.on('data', handleData);
		request.on('end', handleEnd);
		request.on('close', handleClose);
		request.on('error', handleClose);
	});
}
