import {Buffer} from 'node:buffer';
import {
	request as startRequest,
	type Agent,
	type ClientRequest,
	type IncomingHttpHeaders,
	type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {connectTimeoutMs, maxBufferedBytes} from '../../protocol/constants.js';
import type {AnswerHead} from '../../protocol/edge.js';
import {discardBody} from './discard-body.js';
import {
	startPostPollTimer,
	type PostPollTimer,
} from './start-post-poll-timer.js';

/** What became of a request on one connection. */
export type SendOutcome =
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly headers: IncomingHttpHeaders;
			/** Whole when short; else a stream that fails unless it ends whole. */
			readonly body: Uint8Array | Readable;
	  }
	/** Not one byte was sent. */
	| {readonly kind: 'not-sent'}
	/** The connection failed before the head of the answer. */
	| {readonly kind: 'lost'}
	/** The connection failed within the answer. */
	| {readonly kind: 'truncated'}
	/** It was aborted after it may have been sent. */
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
	/** Connections to use. */
	readonly agent: Agent;
	/** IP and port of the other end. */
	readonly address: string;
	/**
	 * Whether an answer to another request is found out; if not, which is assumed,
	 * idle connections are read before one of them is used again.
	 */
	readonly areResponsesIdentified?: boolean;
	/** Called before the first byte may leave, unless it was aborted before. */
	readonly onSend?: (() => void) | undefined;
	/** Called when the last byte has been handed to the connection. */
	readonly onSent?: (() => void) | undefined;
	/** Called with each interim answer (1xx). */
	readonly onInterim?: (() => void) | undefined;
	/** Called when the head of the answer has arrived. */
	readonly onHead?: ((head: AnswerHead) => void) | undefined;
};

/** A request that has been handed to a connection. */
export type SentRequest = {
	readonly outcome: Promise<SendOutcome>;
	/** Ends the request; a connection on which it was sent is closed. */
	abort(): void;
};

/** Least status of HTTP; Node reads lower ones but doesn't write them. */
const minStatus = 100;
const statusNotModified = 304;
const statusNoContent = 204;

/** Tells whether only the end of the connection ends an answer's body. */
function isEndedByConnection({headers}: IncomingMessage): boolean {
	return (
		headers['content-length'] === undefined &&
		headers['transfer-encoding'] === undefined
	);
}

/** Tells whether an agent has a connection to an address that is not in use. */
function hasIdleConnection({agent, address}: SendOptions): boolean {
	const [host, port] = address.split(':');
	const name = agent.getName({host: host!, port: Number(port)});
	return (agent.freeSockets[name]?.length ?? 0) > 0;
}

/** One request on one connection, up to its outcome. */
class Sending {
	readonly outcome: Promise<SendOutcome>;
	#request: ClientRequest | undefined;
	#resolve!: (outcome: SendOutcome) => void;
	#connectTimer: PostPollTimer | undefined;
	#isSent = false;
	#isAborted = false;
	#hasFailed = false;
	#isOver = false;
	#answer: IncomingMessage | undefined;
	#chunks: Uint8Array[] = [];
	#size = 0;
	#isStreamed = false;
	#onFailure: ((error: Error) => void) | undefined;
	readonly #onSend: (() => void) | undefined;

	constructor(outgoing: OutgoingRequest, options: SendOptions) {
		this.outcome = new Promise((resolve) => {
			this.#resolve = resolve;
		});
		this.#onSend = options.onSend;
		const {areResponsesIdentified = false} = options;
		if (areResponsesIdentified || !hasIdleConnection(options)) {
			this.#start(outgoing, options);
		} else {
			void this.#startOnceRead(outgoing, options);
		}
	}

	abort(): void {
		if (this.#isOver) {
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
	 * Starts the request after the sockets have been read: what a late node has
	 * not read yet of an idle connection would be taken for the answer.
	 */
	async #startOnceRead(
		outgoing: OutgoingRequest,
		options: SendOptions,
	): Promise<void> {
		// The first turn may end without a read.
		await waitForTurn();
		await waitForTurn();
		if (!this.#isAborted) {
			this.#start(outgoing, options);
		}
	}

	#start(outgoing: OutgoingRequest, options: SendOptions): void {
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
			this.#watchSocket(socket);
		});
		request.on('response', (answer) => {
			const {statusCode: status = 0, headers: answerHeaders} = answer;
			options.onHead?.({status, headers: answerHeaders});
			this.#handleAnswer(answer);
		});
		request.on('error', (error) => {
			this.#fail(error);
		});
		request.on('close', () => {
			this.#fail(new Error('the connection was closed'));
		});
		if (options.onSent) {
			request.once('finish', options.onSent);
		}

		if (options.onInterim) {
			request.on('information', options.onInterim);
		}

		this.#sendBody(request, body);
	}

	#watchSocket(socket: Socket): void {
		if (!socket.connecting) {
			this.#noteSent();
			return;
		}

		this.#connectTimer = startPostPollTimer(() => {
			this.#request!.destroy(new Error('no connection in time'));
		}, connectTimeoutMs);
		socket.once('connect', () => {
			this.#connectTimer?.stop();
			// Node writes the head of the request on the connection's first turn.
			if (!this.#isAborted) {
				this.#noteSent();
			}
		});
	}

	#noteSent(): void {
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

		body.on('error', (error) => {
			request.destroy(error);
		});
		body.pipe(request);
		request.once('close', () => {
			if (this.#answer) {
				discardBody(body);
			}
		});
	}

	#handleAnswer(answer: IncomingMessage): void {
		if ((answer.statusCode ?? 0) < minStatus) {
			this.#request!.destroy(new Error('no valid status'));
			return;
		}

		this.#answer = answer;
		answer.on('error', (error) => {
			this.#fail(error);
		});
		answer.on('aborted', () => {
			this.#fail(new Error('the answer was cut'));
		});
		if (isEndedByConnection(answer)) {
			this.#watchEnd(answer.socket);
		}

		answer.on('data', this.#takeChunk);
		answer.on('end', () => {
			this.#end();
		});
	}

	/**
	 * Tells a reset from an end. A reset that arrives together with the last
	 * bytes is reported by libuv as an ordinary end, but the connection has no
	 * peer any more.
	 */
	#watchEnd(socket: Socket): void {
		socket.prependOnceListener('end', () => {
			if (socket.remoteAddress === undefined) {
				this.#fail(new Error('the connection was reset'));
			}
		});
	}

	readonly #takeChunk = (chunk: Uint8Array): void => {
		this.#chunks.push(chunk);
		this.#size += chunk.length;
		if (this.#size > maxBufferedBytes) {
			this.#startStream();
		}
	};

	#startStream(): void {
		const answer = this.#answer!;
		const chunks = this.#chunks;
		this.#isStreamed = true;
		this.#chunks = [];
		answer.off('data', this.#takeChunk);
		answer.pause();
		const stream = new Readable({
			read() {
				answer.resume();
			},
			destroy: (error, callback) => {
				if (!answer.complete || this.#hasFailed) {
					this.#request!.destroy(error ?? new Error('not read to its end'));
				}

				callback(error);
			},
		});
		for (const chunk of chunks) {
			stream.push(chunk);
		}

		answer.on('data', (chunk: Uint8Array) => {
			if (!stream.push(chunk)) {
				answer.pause();
			}
		});
		answer.on('end', () => {
			if (!this.#hasFailed) {
				stream.push(null);
			}
		});
		this.#onFailure = (error) => {
			stream.destroy(error);
		};

		this.#settle(this.#createAnswered(stream));
	}

	#end(): void {
		// After a reset Node ends an answer without a length like a whole one.
		if (this.#hasFailed || this.#isStreamed) {
			return;
		}

		const chunks = this.#chunks;
		const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
		const length = Number(
			this.#answer!.headers['content-length'] ?? body.length,
		);
		this.#settle(
			length === body.length || this.#hasNoBody()
				? this.#createAnswered(body)
				: {kind: 'truncated'},
		);
	}

	/** Tells whether the answer has arrived to its end, if not been read. */
	#isAnswerWhole(): boolean {
		const answer = this.#answer;
		return answer?.complete === true && !isEndedByConnection(answer);
	}

	#hasNoBody(): boolean {
		const status = this.#answer!.statusCode;
		return (
			this.#request!.method === 'HEAD' ||
			status === statusNotModified ||
			status === statusNoContent
		);
	}

	#createAnswered(body: Uint8Array | Readable): SendOutcome {
		const {statusCode = 0, headers} = this.#answer!;
		return {kind: 'answered', status: statusCode, headers, body};
	}

	#fail(error: Error): void {
		this.#connectTimer?.stop();
		if (this.#isStreamed) {
			if (!this.#answer!.complete || this.#hasFailed) {
				this.#hasFailed = true;
				this.#onFailure?.(error);
			}

			return;
		}

		if (this.#isAnswerWhole() && !this.#isAborted) {
			// What follows a whole answer belongs to no request.
			return;
		}

		this.#hasFailed = true;
		if (!this.#isSent) {
			this.#settle({kind: 'not-sent'});
		} else if (this.#isAborted) {
			this.#settle({kind: 'aborted'});
		} else {
			this.#settle({kind: this.#answer ? 'truncated' : 'lost'});
		}
	}

	#settle(outcome: SendOutcome): void {
		this.#connectTimer?.stop();
		if (!this.#isOver) {
			this.#isOver = !this.#isStreamed;
			this.#resolve(outcome);
		}
	}
}

/**
 * Sends a request on a connection of an agent, at most once.
 *
 * The outcome says whether any byte may have been sent; errors are outcomes.
 * The body of a long answer comes as a stream with back pressure.
 *
 * @param outgoing - the request
 * @param options - see `SendOptions`
 * @returns its outcome, and how to abort it
 */
export function sendRequest(
	outgoing: OutgoingRequest,
	options: SendOptions,
): SentRequest {
	const sending = new Sending(outgoing, options);
	return {
		outcome: sending.outcome,
		abort() {
			sending.abort();
		},
	};
}
