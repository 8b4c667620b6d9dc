import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import {Readable} from 'node:stream';
import {maxBufferedBytes} from '../../protocol/constants.js';
import {createPieceBuffer, type PieceBuffer} from './create-piece-buffer.js';

/** Options of `createBodyStream`. */
export type BodyStreamOptions = {
	/** The part of the body that has been received before; none when absent. */
	readonly received?: PieceBuffer;
	/** Longest body that is accepted; no limit when absent. */
	readonly maxBytes?: number;
	/** Called when the stream is destroyed before the end of the body; destroys the message when absent. */
	readonly onDestroy?: (error: Error | undefined) => void;
};

/** Suspends and resumes the reading of a message. */
type ReadControl = {
	suspend(): void;
	resume(): void;
};

/**
 * Takes control of when a message is read. When a message is paused, Node.js reads
 * on until its own buffer is full, whose limit does not count how many pieces it
 * holds. The socket is therefore paused at once.
 */
function createReadControl(message: IncomingMessage): ReadControl {
	const readOn = message._read.bind(message);
	let isSuspended = false;
	message._read = (size) => {
		if (!isSuspended) {
			readOn(size);
		}
	};

	return {
		suspend() {
			// After the end of a message, its socket belongs to the next one.
			if (!message.complete) {
				isSuspended = true;
				message.socket.pause();
			}
		},
		resume() {
			if (isSuspended) {
				isSuspended = false;
				readOn(0);
			}
		},
	};
}

/**
 * Creates a stream of the body of a request or response, with back pressure.
 *
 * The pieces that one read of the socket brings are passed on as one chunk. They
 * are held until the reader wants them, so that a reader that is behind does not
 * collect small chunks.
 *
 * @param message - the request or response; nothing else reads its body
 * @param options - see `BodyStreamOptions`
 * @returns the stream; it fails if the body is truncated or too long
 */
export function createBodyStream(
	message: IncomingMessage,
	options: BodyStreamOptions = {},
): Readable {
	const {received = createPieceBuffer()} = options;
	const {maxBytes = Number.POSITIVE_INFINITY} = options;
	const control = createReadControl(message);
	let size = received.readSize();
	let isWanted = false;
	let isPassOnPlanned = false;

	const stream = new Readable({
		// Further bytes are held in `received`.
		highWaterMark: 1,
		read() {
			isWanted = true;
			passOn();
		},
		destroy(error, callback) {
			if (!message.readableEnded) {
				const reason = error ?? undefined;
				if (options.onDestroy) {
					options.onDestroy(reason);
				} else {
					message.destroy(reason);
				}
			}

			callback(error);
		},
	});

	/** Passes what has been received to the reader if it wants more, and reads on unless too much is held. */
	function passOn(): void {
		isPassOnPlanned = false;
		if (isWanted && received.readSize() > 0) {
			isWanted = false;
			stream.push(received.take());
		}

		if (received.readSize() > maxBufferedBytes) {
			control.suspend();
		} else {
			control.resume();
		}

		if (message.readableEnded && received.readSize() === 0) {
			stream.push(null);
		}
	}

	stream.on('error', () => {
		// Without a listener, a failure before the reader attaches its own would end
		// the process. The reader finds the stream destroyed.
	});
	message.on('data', (piece: Uint8Array) => {
		if (stream.destroyed) {
			return;
		}

		received.add(piece);
		size += piece.length;
		if (size > maxBytes) {
			stream.destroy(new Error('body is too large'));
		} else if (!isPassOnPlanned) {
			isPassOnPlanned = true;
			// Runs after all pieces of this read.
			process.nextTick(passOn);
		}
	});
	message.on('end', passOn);
	message.on('error', (error) => {
		stream.destroy(error);
	});
	message.on('close', () => {
		if (!message.readableEnded) {
			stream.destroy(new Error('body is truncated'));
		}
	});
	if (message.destroyed) {
		stream.destroy(new Error('body is truncated'));
	}

	return stream;
}
