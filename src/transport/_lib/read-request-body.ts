import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import {
	maxBufferedBytes,
	maxBufferedBodyBytes,
	bodyPrefixBytes,
} from '../../protocol/constants.js';
import type {BodyMemoryBudget} from './create-body-memory-budget.js';
import {computeTimerDelay} from './compute-timer-delay.js';
import {createPieceBuffer, type PieceBuffer} from './create-piece-buffer.js';
import {discardBody} from './discard-body.js';
import {hasBody} from './has-body.js';
import {selectBodyPrefix} from './select-body-prefix.js';
import {createBodyStream} from './create-body-stream.js';

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

/** Waits until the first bytes of a body have been received; ends earlier at the end of the body and at the timeout. */
async function waitForPrefix(
	request: IncomingMessage,
	received: PieceBuffer,
	timeoutMs: number | undefined,
): Promise<void> {
	await new Promise<void>((resolve) => {
		const finish = (): void => {
			request.off('data', handleData);
			request.off('end', finish);
			request.off('close', finish);
			clearTimeout(timer);
			resolve();
		};

		const handleData = (): void => {
			if (received.readSize() >= bodyPrefixBytes) {
				finish();
			}
		};

		const timer =
			timeoutMs === undefined
				? undefined
				: setTimeout(finish, computeTimerDelay(timeoutMs));
		request.on('data', handleData);
		request.on('end', finish);
		request.on('close', finish);
		if (request.destroyed) {
			finish();
		} else {
			handleData();
		}
	});
}

/** Streams a body; returns it once its first bytes have arrived if they are needed. */
async function readStreamed(
	request: IncomingMessage,
	{maxBytes, timeoutMs, needsPrefix = true}: ReadRequestBodyOptions,
	received = createPieceBuffer(),
): Promise<BodyReadResult> {
	const body = createBodyStream(request, {received, maxBytes});
	if (needsPrefix) {
		await waitForPrefix(request, received, timeoutMs);
	}

	const prefix = needsPrefix ? received.copyFirst(bodyPrefixBytes) : emptyBody;
	return {kind: 'read', body, reservedBytes: 0, prefix};
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
	const received = createPieceBuffer();
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

		const handleData = (piece: Uint8Array): void => {
			received.add(piece);
			const size = received.readSize();
			if (size > maxBytes) {
				settle({kind: 'refused', reason: 'body-too-large'});
			} else if (size > bufferLimitBytes) {
				const read = readStreamed(request, options, received);
				stopListening();
				void read.then(resolve);
			}
		};

		const handleEnd = (): void => {
			const body = received.take();
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
