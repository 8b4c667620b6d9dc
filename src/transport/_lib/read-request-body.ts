import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {pipeline, Transform, type Readable} from 'node:stream';
import {
	maxBufferedBytes,
	maxBufferedBodyBytes,
	bodyPrefixBytes,
} from '../../protocol/constants.js';
import type {BodyMemoryBudget} from './create-body-memory-budget.js';
import {computeTimerDelay} from './compute-timer-delay.js';
import {discardBody} from './discard-body.js';
import {hasBody} from './has-body.js';
import {selectBodyPrefix} from './select-body-prefix.js';

/** Options of `readRequestBody`. */
export type ReadRequestBodyOptions = {
	/** Longest body that is accepted. */
	readonly maxBytes: number;
	/** Longest body that is buffered in any case; `maxBufferedBytes` when absent. */
	readonly bufferLimitBytes?: number;
	/** Budget for buffering longer bodies of a known length; they are streamed when absent. */
	readonly memory?: BodyMemoryBudget;
	/** Timeout for receiving a buffered body, ms; none when absent. */
	readonly timeoutMs?: number;
	/** Whether a streamed body is returned only with its prefix; true when absent. */
	readonly needsPrefix?: boolean;
};

/** Result of reading a request's body. */
export type BodyReadResult =
	/** The whole body, or a stream if it is not buffered. */
	| {
			readonly kind: 'read';
			readonly body: Uint8Array | Readable;
			/** Bytes reserved of the memory budget; the caller releases them when the body is no longer needed. */
			readonly reservedBytes: number;
			/** The part that identifies the body, see `selectBodyPrefix`; empty for a streamed body without `needsPrefix`. */
			readonly prefix: Uint8Array;
	  }
	| {
			readonly kind: 'refused';
			readonly reason: 'body-too-large' | 'cancelled' | 'deadline';
	  };

const emptyBody = new Uint8Array();

/** Result of reading the body of a request that has none. */
export const noBody: BodyReadResult = {
	kind: 'read',
	body: emptyBody,
	reservedBytes: 0,
	prefix: emptyBody,
};

/** A body that is streamed. */
type StreamedBody = {
	/** Fails if the body exceeds the limit. */
	readonly body: Readable;
	/** The first bytes of the body; fewer if it ends or the time-out passes before them. */
	readonly prefix: Promise<Uint8Array>;
};

/** Streams a body, and keeps a copy of its first bytes. */
function streamBody(
	request: IncomingMessage,
	{maxBytes, timeoutMs}: Pick<ReadRequestBodyOptions, 'maxBytes' | 'timeoutMs'>,
): StreamedBody {
	const chunks: Uint8Array[] = [];
	let size = 0;
	let resolvePrefix!: (prefix: Uint8Array) => void;
	const prefix = new Promise<Uint8Array>((resolve) => {
		resolvePrefix = resolve;
	});
	const finishPrefix = (): void => {
		clearTimeout(timer);
		resolvePrefix(Buffer.concat(chunks).subarray(0, bodyPrefixBytes));
		chunks.length = 0;
	};

	const timer =
		timeoutMs === undefined
			? undefined
			: setTimeout(finishPrefix, computeTimerDelay(timeoutMs));
	const limit = new Transform({
		transform(chunk: Uint8Array, _encoding, callback) {
			const hasPrefix = size >= bodyPrefixBytes;
			size += chunk.length;
			if (!hasPrefix) {
				chunks.push(chunk);
				if (size >= bodyPrefixBytes) {
					finishPrefix();
				}
			}

			callback(
				size > maxBytes ? new Error('request body is too large') : null,
				chunk,
			);
		},
	});
	pipeline(request, limit, () => {
		// The error is reported to the reader of `limit`.
		finishPrefix();
	});
	return {body: limit, prefix};
}

/** Streams a body; returns it once its first bytes have arrived if they are needed. */
async function readStreamed(
	request: IncomingMessage,
	options: ReadRequestBodyOptions,
): Promise<BodyReadResult> {
	const {needsPrefix = true} = options;
	const {body, prefix} = streamBody(request, options);
	return {
		kind: 'read',
		body,
		reservedBytes: 0,
		prefix: needsPrefix ? await prefix : emptyBody,
	};
}

/**
 * Reads a request's body. A body that is short or fits into the memory budget is
 * buffered; any other is a stream with back pressure that fails if the body is
 * truncated or too long.
 *
 * A buffered body can be sent to another host after a refusal, and occupies no
 * slot while it arrives over a slow link.
 *
 * @param request - the request
 * @param options - see `ReadRequestBodyOptions`
 * @returns the body, or why it is refused
 */
export async function readRequestBody(
	request: IncomingMessage,
	options: ReadRequestBodyOptions,
): Promise<BodyReadResult> {
	const {maxBytes, bufferLimitBytes = maxBufferedBytes, memory} = options;
	const {headers} = request;
	if (!hasBody(headers)) {
		return noBody;
	}

	const bytes = Number(headers['content-length']);
	if (bytes > maxBytes) {
		return {kind: 'refused', reason: 'body-too-large'};
	}

	if (!(bytes > bufferLimitBytes)) {
		return bufferBody(request, {...options, bufferLimitBytes});
	}

	if (bytes > maxBufferedBodyBytes || !memory?.tryReserve(bytes)) {
		return readStreamed(request, options);
	}

	const read = await bufferBody(request, {
		...options,
		bufferLimitBytes: bytes,
	});
	if (read.kind === 'refused') {
		memory.release(bytes);
		return read;
	}

	return {...read, reservedBytes: bytes};
}

/** Buffers a body; one that turns out to exceed the buffer limit is streamed. */
async function bufferBody(
	request: IncomingMessage,
	options: ReadRequestBodyOptions & {readonly bufferLimitBytes: number},
): Promise<BodyReadResult> {
	const {maxBytes, bufferLimitBytes, timeoutMs} = options;
	const chunks: Uint8Array[] = [];
	let size = 0;
	return new Promise((resolve) => {
		const stopListening = (): void => {
			request.off('data', handleData);
			request.off('end', handleEnd);
			request.off('close', handleClose);
			clearTimeout(timer);
		};

		const settle = (result: BodyReadResult): void => {
			stopListening();
			resolve(result);
		};

		const handleData = (chunk: Uint8Array): void => {
			chunks.push(chunk);
			size += chunk.length;
			if (size > maxBytes) {
				settle({kind: 'refused', reason: 'body-too-large'});
			} else if (size > bufferLimitBytes) {
				request.pause();
				request.unshift(Buffer.concat(chunks));
				stopListening();
				void readStreamed(request, options).then(resolve);
			}
		};

		const handleEnd = (): void => {
			const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
			settle({
				kind: 'read',
				body,
				reservedBytes: 0,
				prefix: selectBodyPrefix(body),
			});
		};

		const handleClose = (): void => {
			settle({kind: 'refused', reason: 'cancelled'});
		};

		const handleTimeout = (): void => {
			discardBody(request);
			settle({kind: 'refused', reason: 'deadline'});
		};

		const timer =
			timeoutMs === undefined
				? undefined
				: setTimeout(handleTimeout, computeTimerDelay(timeoutMs));
		request.on('data', handleData);
		request.on('end', handleEnd);
		request.on('close', handleClose);
		request.on('error', handleClose);
	});
}
