import type {IncomingMessage} from 'node:http';
import type {Readable} from 'node:stream';
import {
	maxBufferedBytes,
	maxBufferedBodyBytes,
	bodyPrefixBytes,
} from '../../protocol/constants.js';
import type {BodyMemoryBudget} from './create-body-memory-budget.js';
import {computeTimerDelay} from './compute-timer-delay.js';
import {createBodyStream} from './create-body-stream.js';
import {createPieceBuffer, type PieceBuffer} from './create-piece-buffer.js';
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

/** What `watchBody` calls. */
type BodyWatch = {
	readonly onData: (piece: Uint8Array) => void;
	readonly onEnd: () => void;
	/** Also called when the body fails, even after the watch has been stopped. */
	readonly onClose: () => void;
	readonly onTimeout: () => void;
	/** None when absent, ms. */
	readonly timeoutMs: number | undefined;
};

/** Watches the body of a request until the returned function is called. */
function watchBody(
	request: IncomingMessage,
	{onData, onEnd, onClose, onTimeout, timeoutMs}: BodyWatch,
): () => void {
	const timer =
		timeoutMs === undefined
			? undefined
			: setTimeout(onTimeout, computeTimerDelay(timeoutMs));
	request.on('data', onData);
	request.on('end', onEnd);
	request.on('close', onClose);
	request.on('error', onClose);
	return () => {
		request.off('data', onData);
		request.off('end', onEnd);
		request.off('close', onClose);
		clearTimeout(timer);
	};
}

/** Reads the first bytes of a streamed body; fewer if it ends or the timeout passes before them. */
async function readPrefix(
	request: IncomingMessage,
	received: PieceBuffer,
	timeoutMs: number | undefined,
): Promise<Uint8Array> {
	const hasPrefix = (): boolean => received.readSize() >= bodyPrefixBytes;
	if (!request.destroyed && !hasPrefix()) {
		await new Promise<void>((resolve) => {
			const finish = (): void => {
				stopWatching();
				resolve();
			};

			const stopWatching = watchBody(request, {
				onData() {
					if (hasPrefix()) {
						finish();
					}
				},
				onEnd: finish,
				onClose: finish,
				onTimeout: finish,
				timeoutMs,
			});
		});
	}

	return received.copyFirst(bodyPrefixBytes);
}

/** Streams a body; returns it once its first bytes have arrived if they are needed. */
async function readStreamed(
	request: IncomingMessage,
	{maxBytes, timeoutMs, needsPrefix = true}: ReadRequestBodyOptions,
	received = createPieceBuffer(),
): Promise<BodyReadResult> {
	const body = createBodyStream(request, {received, maxBytes});
	const prefix = needsPrefix
		? await readPrefix(request, received, timeoutMs)
		: emptyBody;
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
		const settle = (result: BodyReadResult): void => {
			stopWatching();
			resolve(result);
		};

		const stopWatching = watchBody(request, {
			onData(piece) {
				received.add(piece);
				const size = received.readSize();
				if (size > maxBytes) {
					settle({kind: 'refused', reason: 'body-too-large'});
				} else if (size > bufferLimitBytes) {
					const read = readStreamed(request, options, received);
					stopWatching();
					void read.then(resolve);
				}
			},
			onEnd() {
				const body = received.take();
				settle({
					kind: 'read',
					body,
					reservedBytes: 0,
					prefix: selectBodyPrefix(body),
				});
			},
			onClose() {
				settle({kind: 'refused', reason: 'cancelled'});
			},
			onTimeout() {
				discardBody(request);
				settle({kind: 'refused', reason: 'deadline'});
			},
			timeoutMs,
		});
	});
}
