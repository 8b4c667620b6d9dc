import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {maxBufferedBytes} from '../../protocol/constants.js';

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

/** A request that has been handed to a connection pool. */
export type SentRequest = {
	readonly outcome: Promise<SendOutcome>;
	/** Ends the request; a connection on which it was sent is closed. */
	abort(): void;
};

/** Reads the body of one answer, whole up to a bound and else as a stream. */
class AnswerHandler implements Dispatcher.DispatchHandler {
	readonly outcome: Promise<SendOutcome>;
	#resolve!: (outcome: SendOutcome) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#isAborted = false;
	#status = 0;
	#headers: IncomingHttpHeaders = {};
	#chunks: Uint8Array[] = [];
	#size = 0;
	#stream: Readable | undefined;

	constructor() {
		this.outcome = new Promise((resolve) => {
			this.#resolve = resolve;
		});
	}

	abort(): void {
		this.#isAborted = true;
		if (this.#controller) {
			this.#controller.abort(new Error('aborted'));
		} else {
			this.#resolve({kind: 'not-sent'});
		}
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#isAborted) {
			controller.abort(new Error('aborted before it was sent'));
			return;
		}

		this.#controller = controller;
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: IncomingHttpHeaders,
	): void {
		if (status >= 200) {
			this.#status = status;
			this.#headers = headers;
		}
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		if (this.#stream) {
			if (!this.#stream.push(chunk)) {
				controller.pause();
			}

			return;
		}

		this.#chunks.push(chunk);
		this.#size += chunk.length;
		if (this.#size > maxBufferedBytes) {
			this.#startStream(controller);
		}
	}

	onResponseEnd(): void {
		if (this.#stream) {
			this.#stream.push(null);
			return;
		}

		const chunks = this.#chunks;
		const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
		this.#answer(body);
	}

	onResponseError(
		_controller: Dispatcher.DispatchController,
		error: Error,
	): void {
		this.fail(error);
	}

	fail(error: Error): void {
		if (this.#stream) {
			this.#stream.destroy(error);
		} else if (!this.#controller) {
			this.#resolve({kind: 'not-sent'});
		} else if (this.#isAborted) {
			this.#resolve({kind: 'aborted'});
		} else {
			this.#resolve({kind: this.#status === 0 ? 'lost' : 'truncated'});
		}
	}

	#startStream(controller: Dispatcher.DispatchController): void {
		const stream = new Readable({
			read() {
				controller.resume();
			},
			destroy(error, callback) {
				if (error) {
					controller.abort(error);
				} else if (!stream.readableEnded) {
					controller.abort(new Error('not read to its end'));
				}

				callback(error);
			},
		});
		for (const chunk of this.#chunks) {
			stream.push(chunk);
		}

		this.#chunks = [];
		this.#stream = stream;
		controller.pause();
		this.#answer(stream);
	}

	#answer(body: Uint8Array | Readable): void {
		const status = this.#status;
		this.#resolve({kind: 'answered', status, headers: this.#headers, body});
	}
}

/**
 * Sends a request through a connection pool, at most once.
 *
 * The outcome says whether any byte may have been sent; errors are outcomes.
 * The body of a long answer comes as a stream with back pressure.
 *
 * @param dispatcher - the pool
 * @param options - the request
 * @returns its outcome, and how to abort it
 */
export function sendRequest(
	dispatcher: Dispatcher,
	options: Dispatcher.DispatchOptions,
): SentRequest {
	const handler = new AnswerHandler();
	try {
		dispatcher.dispatch(options, handler);
	} catch (error) {
		handler.fail(error instanceof Error ? error : new Error(String(error)));
	}

	return {
		outcome: handler.outcome,
		abort() {
			handler.abort();
		},
	};
}
