import {
	request as startRequest,
	type Agent,
	type ClientRequest,
	type IncomingHttpHeaders,
	type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {
	connectTimeoutMs,
	maxBufferedBytes,
	restTimeoutMs,
} from '../../protocol/constants.js';
import type {ResponseHead} from '../../protocol/edge.js';
import {createBodyStream} from './create-body-stream.js';
import {createPieceBuffer} from './create-piece-buffer.js';
import {discardBody} from './discard-body.js';
import {handleInterimResponses} from './handle-interim-responses.js';
import {hasIdleConnection} from './has-idle-connection.js';
import {
	startPostPollTimer,
	type PostPollTimer,
} from './start-post-poll-timer.js';
import {waitForTurns} from './wait-for-turns.js';

/** Outcome of a request on one connection. */
export type SendOutcome =
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly headers: IncomingHttpHeaders;
			/** The complete body if it is short; otherwise a stream that fails if the body is truncated. */
			readonly body: Uint8Array | Readable;
	  }
	/** No byte of the request was sent. */
	| {
			readonly kind: 'not-sent';
			/** Why Node.js refuses to send the request; absent if it does not. */
			readonly refusal?: string;
	  }
	/** The connection failed before the response head was received. */
	| {readonly kind: 'lost'}
	/** The connection failed during the response. */
	| {readonly kind: 'truncated'}
	/** The request was aborted after bytes may have been sent. */
	| {readonly kind: 'aborted'};

/** A request to be sent. */
export type OutgoingRequest = {
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body?: Uint8Array | Readable | undefined;
};

/** Options of `sendRequest`. */
export type SendOptions = {
	/** Agent that provides the connections. */
	readonly agent: Agent;
	/** IP address and port of the server. */
	readonly address: string;
	/**
	 * Whether responses identify their request, so that the response to another
	 * request is detected; false by default. If not, unread data on idle
	 * connections is read before a connection is reused.
	 */
	readonly areResponsesIdentified?: boolean;
	/**
	 * Called once the request has a connection, right before its first byte is
	 * sent. Returns headers to set, or undefined when the request must not be sent
	 * any more. Without it, the request is sent as soon as the connection is open,
	 * however long that took.
	 */
	readonly prepareSend?: (() => IncomingHttpHeaders | undefined) | undefined;
	/**
	 * Whether sockets may hold the reason for an abort that has arrived long ago;
	 * they are then read before `prepareSend` is called.
	 */
	readonly isBehind?: (() => boolean) | undefined;
	/** Called before the first byte may be sent, unless the request is aborted before that. */
	readonly onSend?: (() => void) | undefined;
	/** Called when the last byte has been passed to the connection. */
	readonly onSent?: (() => void) | undefined;
	/** Called for each informational response (1xx). */
	readonly onInterim?:
		((head: Pick<ResponseHead, 'headers'>) => void) | undefined;
	/** Called when the response head has been received. */
	readonly onHead?: ((head: ResponseHead) => void) | undefined;
	/** Whether further requests may be sent on the connection, by the response head; true when absent. */
	readonly canReuse?: ((head: ResponseHead) => boolean) | undefined;
};

/** A request that has been passed to a connection. */
export type SentRequest = {
	readonly outcome: Promise<SendOutcome>;
	/** Aborts the request and closes the connection on which it was sent. */
	abort(): void;
};

/** Event loop turns after which unread data on a connection has been read; the first may end without a read. */
const turnsToReadData = 2;

/** Event loop turns after which the end of a client's connection has been read, here and at the node that passes it on. */
const turnsToReadClose = 4;

/** Range of the HTTP statuses (RFC 9110, section 15); Node.js accepts all of three digits in responses. */
const minStatus = 100;
const maxStatus = 599;
const statusNotModified = 304;
const statusNoContent = 204;

function hasValidStatus({statusCode: status = 0}: IncomingMessage): boolean {
	return status >= minStatus && status <= maxStatus;
}

/** Returns whether the body of a response is delimited only by the close of the connection. */
function isCloseDelimited({headers}: IncomingMessage): boolean {
	return (
		headers['content-length'] === undefined &&
		headers['transfer-encoding'] === undefined
	);
}

/** The exchange of one request on one connection, up to its outcome. */
class RequestExchange {
	readonly outcome: Promise<SendOutcome>;
	#request: ClientRequest | undefined;
	#resolve!: (outcome: SendOutcome) => void;
	#connectTimer: PostPollTimer | undefined;
	#isSent = false;
	#isAborted = false;
	#hasFailed = false;
	#isSettled = false;
	#response: IncomingMessage | undefined;
	readonly #received = createPieceBuffer();
	/** The stream of a long response; undefined while the response is buffered. */
	#stream: Readable | undefined;
	readonly #onSend: (() => void) | undefined;
	readonly #prepareSend: SendOptions['prepareSend'];
	readonly #isBehind: () => boolean;

	constructor(outgoing: OutgoingRequest, options: SendOptions) {
		this.outcome = new Promise((resolve) => {
			this.#resolve = resolve;
		});
		this.#onSend = options.onSend;
		this.#prepareSend = options.prepareSend;
		this.#isBehind = options.isBehind ?? (() => false);
		const {areResponsesIdentified = false} = options;
		if (
			areResponsesIdentified ||
			!hasIdleConnection(options.agent, options.address)
		) {
			this.#start(outgoing, options);
		} else {
			void this.#startAfterRead(outgoing, options);
		}
	}

	abort(): void {
		if (this.#isSettled) {
			return;
		}

		this.#isAborted = true;
		if (this.#request) {
			this.#request.destroy(new Error('aborted'));
		} else {
			this.#settle({kind: 'not-sent'});
		}
	}

	/**
	 * Starts the request after pending data on the sockets has been read. If the
	 * event loop lags, unread data on an idle connection would otherwise be taken
	 * for the response.
	 */
	async #startAfterRead(
		outgoing: OutgoingRequest,
		options: SendOptions,
	): Promise<void> {
		await waitForTurns(turnsToReadData);
		if (!this.#isAborted) {
			this.#start(outgoing, options);
		}
	}

	/** Starts the request; Node.js throws at ports, paths and header values that it does not send. */
	#start(outgoing: OutgoingRequest, options: SendOptions): void {
		const {body} = outgoing;
		if (body instanceof Readable && body.destroyed) {
			this.#settle({kind: 'not-sent'});
			return;
		}

		try {
			this.#startRequest(outgoing, options);
		} catch (error) {
			this.#refuse(error);
		}
	}

	#startRequest(outgoing: OutgoingRequest, options: SendOptions): void {
		const [host, port] = options.address.split(':');
		const {method, path, headers, body} = outgoing;
		const request = startRequest({
			agent: options.agent,
			host,
			port,
			method,
			path,
			headers: {...headers},
			setHost: headers.host === undefined,
		});
		this.#request = request;
		request.on('socket', (socket) => {
			this.#watchSocket(socket, body);
		});
		request.on('response', (response) => {
			if (!hasValidStatus(response)) {
				request.destroy(new Error('invalid response status'));
				return;
			}

			const {statusCode: status = 0, headers: responseHeaders} = response;
			const head = {status, headers: responseHeaders};
			options.onHead?.(head);
			if (options.canReuse?.(head) === false) {
				request.shouldKeepAlive = false;
			}

			this.#handleResponse(response);
		});
		request.on('error', (error) => {
			this.#fail(error);
		});
		request.on('close', () => {
			if (!this.#isSettled) {
				this.#fail(new Error('connection closed'));
			}
		});
		if (options.onSent) {
			request.once('finish', options.onSent);
		}

		handleInterimResponses(request, options);
		if (body instanceof Readable) {
			body.on('error', (error) => {
				request.destroy(error);
			});
		}

		if (!this.#prepareSend) {
			this.#sendBody(request, body);
		}
	}

	#watchSocket(socket: Socket, body: OutgoingRequest['body']): void {
		if (!socket.connecting) {
			this.#beginSend(body);
			return;
		}

		this.#connectTimer = startPostPollTimer(() => {
			this.#request!.destroy(new Error('connection timed out'));
		}, connectTimeoutMs);
		socket.once('connect', () => {
			this.#connectTimer?.stop();
			// Node.js writes the request head in the turn in which the connection is established.
			if (!this.#isAborted) {
				this.#beginSend(body);
			}
		});
	}

	/** Sends the request on its connection, unless `prepareSend` decides otherwise. */
	#beginSend(body: OutgoingRequest['body']): void {
		if (!this.#prepareSend) {
			this.#recordSent();
		} else if (this.#isBehind()) {
			void waitForTurns(turnsToReadClose).then(() => {
				this.#sendPrepared(body);
			});
		} else {
			this.#sendPrepared(body);
		}
	}

	/** Sends the request if `prepareSend` still allows it. */
	#sendPrepared(body: OutgoingRequest['body']): void {
		const request = this.#request!;
		if (this.#isAborted || request.destroyed) {
			return;
		}

		const headers = this.#prepareSend!();
		if (!headers) {
			request.destroy(new Error('not sent'));
			return;
		}

		try {
			for (const [name, value] of Object.entries(headers)) {
				if (value !== undefined) {
					request.setHeader(name, value);
				}
			}
		} catch (error) {
			this.#refuse(error);
			return;
		}

		this.#recordSent();
		this.#sendBody(request, body);
	}

	/** Ends a request that Node.js refuses to send. */
	#refuse(error: unknown): void {
		this.#settle({kind: 'not-sent', refusal: String(error)});
		this.#request?.destroy(new Error('not sent'));
	}

	#recordSent(): void {
		this.#isSent = true;
		this.#onSend?.();
	}

	#sendBody(
		request: ClientRequest,
		body: Uint8Array | Readable | undefined,
	): void {
		if (!(body instanceof Readable)) {
			request.end(body);
			return;
		}

		body.pipe(request);
		request.once('close', () => {
			if (this.#response) {
				discardBody(body);
			}
		});
	}

	/**
	 * Sends the rest of a body whose response is complete. Node.js then no longer
	 * passes on the `drain` of the socket, for which the pipe waits. If the server
	 * does not read on, the connection is closed.
	 */
	#sendRest(): void {
		const request = this.#request!;
		const {socket} = request;
		if (request.writableEnded || !socket || socket.destroyed) {
			return;
		}

		let sentBytes = 0;
		const timer = startPostPollTimer(() => {
			const sentBefore = sentBytes;
			sentBytes = socket.bytesWritten - socket.writableLength;
			if (socket.writableLength > 0 && sentBytes === sentBefore) {
				request.destroy(new Error('rest of the body is not read'));
			} else {
				timer.refresh();
			}
		}, restTimeoutMs);
		const handleDrain = (): void => {
			request.emit('drain');
		};

		const stop = (): void => {
			timer.stop();
			socket.off('drain', handleDrain);
		};

		socket.on('drain', handleDrain);
		request.once('finish', stop);
		request.once('close', stop);
		if (!socket.writableNeedDrain) {
			handleDrain();
		}
	}

	#handleResponse(response: IncomingMessage): void {
		this.#response = response;
		response.on('error', (error) => {
			this.#fail(error);
		});
		response.on('aborted', () => {
			this.#fail(new Error('response truncated'));
		});
		if (isCloseDelimited(response)) {
			this.#watchEnd(response.socket);
		}

		response.on('data', this.#bufferPiece);
		response.on('end', () => {
			this.#finishResponse();
			this.#sendRest();
		});
	}

	/**
	 * Distinguishes a connection reset from a regular end. If a reset arrives
	 * together with the last bytes, libuv reports an ordinary end, but the socket
	 * has no remote address any more.
	 */
	#watchEnd(socket: Socket): void {
		socket.prependOnceListener('end', () => {
			if (socket.remoteAddress === undefined) {
				this.#fail(new Error('connection reset'));
			}
		});
	}

	readonly #bufferPiece = (piece: Uint8Array): void => {
		this.#received.add(piece);
		if (this.#received.readSize() > maxBufferedBytes) {
			this.#startStream();
		}
	};

	#startStream(): void {
		const response = this.#response!;
		this.#stream = createBodyStream(response, {
			received: this.#received,
			onDestroy: (error) => {
				this.#request!.destroy(
					error ?? new Error('response stream destroyed before its end'),
				);
			},
		});
		response.off('data', this.#bufferPiece);
		this.#settle(this.#createAnsweredOutcome(this.#stream));
	}

	#finishResponse(): void {
		// After a reset, Node.js emits `end` for a response without a length as if it were complete.
		if (this.#hasFailed || this.#stream) {
			return;
		}

		const body = this.#received.take();
		const length = Number(
			this.#response!.headers['content-length'] ?? body.length,
		);
		this.#settle(
			length === body.length || this.#hasNoBody()
				? this.#createAnsweredOutcome(body)
				: {kind: 'truncated'},
		);
	}

	/** Returns whether the response has been received to its end, even if it has not been read yet. */
	#isResponseComplete(): boolean {
		const response = this.#response;
		return response?.complete === true && !isCloseDelimited(response);
	}

	#hasNoBody(): boolean {
		const status = this.#response!.statusCode;
		return (
			this.#request!.method === 'HEAD' ||
			status === statusNotModified ||
			status === statusNoContent
		);
	}

	#createAnsweredOutcome(body: Uint8Array | Readable): SendOutcome {
		const {statusCode = 0, headers} = this.#response!;
		return {kind: 'answered', status: statusCode, headers, body};
	}

	#fail(error: Error): void {
		this.#connectTimer?.stop();
		if (this.#stream) {
			if (!this.#response!.complete || this.#hasFailed) {
				this.#hasFailed = true;
				this.#stream.destroy(error);
			}

			return;
		}

		if (this.#isResponseComplete() && !this.#isAborted) {
			// Data after a complete response belongs to no request.
			return;
		}

		this.#hasFailed = true;
		if (!this.#isSent) {
			this.#settle({kind: 'not-sent'});
		} else if (this.#isAborted) {
			this.#settle({kind: 'aborted'});
		} else {
			this.#settle({kind: this.#response ? 'truncated' : 'lost'});
		}
	}

	#settle(outcome: SendOutcome): void {
		this.#connectTimer?.stop();
		if (!this.#isSettled) {
			this.#isSettled = this.#stream === undefined;
			this.#resolve(outcome);
		}
	}
}

/**
 * Sends a request on a connection of an agent, at most once.
 *
 * The outcome tells whether any byte may have been sent; errors are reported as
 * outcomes. A long response body is streamed with back pressure.
 *
 * @param outgoing - the request
 * @param options - see `SendOptions`
 * @returns the outcome and a function that aborts the request
 */
export function sendRequest(
	outgoing: OutgoingRequest,
	options: SendOptions,
): SentRequest {
	const exchange = new RequestExchange(outgoing, options);
	return {
		outcome: exchange.outcome,
		abort() {
			exchange.abort();
		},
	};
}
