import {STATUS_CODES, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {
	ConnectionAction,
	ConnectionMessage,
	ConnectionState,
	PendingRequest,
} from '../../coordination/client-connections/connection-state.js';
import {stepConnection} from '../../coordination/client-connections/step-connection.js';
import {readErrorCode} from './read-error-code.js';
import type {ReceivedRequest} from './received-request.js';

type Message = ConnectionMessage<ClientResponse>;

const connections = new WeakMap<Duplex, ClientConnection>();

/** Statuses by Node's code of the error; any other error is a malformed request. */
const statusByErrorCode: ReadonlyMap<string | undefined, number> = new Map([
	['ERR_HTTP_REQUEST_TIMEOUT', 408],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
	['HPE_HEADER_OVERFLOW', 431],
]);
const malformedStatus = 400;

function formatRejection(error: Error): string {
	const status = statusByErrorCode.get(readErrorCode(error)) ?? malformedStatus;
	return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`;
}

/** Release of a connection from the accept queue, after which the server reads from it. */
export type Release = {
	/** Longest wait of the connection before its release, ms. */
	readonly waitMs: number;
	/** When it was released, monotonic ms. */
	readonly at: number;
};

/** Response to a client, whose connection decides whether it is closed afterwards. */
export class ClientResponse
	extends ServerResponse<ReceivedRequest>
	implements PendingRequest
{
	/** The connection that owes the response; absent until its request has been read. */
	owner: ClientConnection | undefined;

	get allowsPipelining(): boolean {
		const {httpVersionMajor: major, httpVersionMinor: minor} = this.req;
		return major === 1 && minor === 1;
	}

	override writeHead(...parameters: unknown[]): this {
		const connection = this.owner ?? connections.get(this.req.socket);
		if (connection) {
			// Without a handler, it is a refusal by Node.js, which may leave the body unread.
			const isRefused = this.owner === undefined;
			if (isRefused) {
				connection.addResponse(this);
			}

			const wantsClose = isRefused || !this.shouldKeepAlive;
			this.shouldKeepAlive = !connection.decideClose(this, wantsClose);
		}

		Reflect.apply(super.writeHead, this, parameters);
		return this;
	}
}

/** A client's connection to a server, with the responses that it owes. */
export class ClientConnection {
	/** Whether it has had a request. */
	isUsed = false;
	/** Release from the accept queue; undefined once its first request has been read. */
	release: Release | undefined;
	/** Bytes that had been read at the last look for idle connections. */
	#bytesRead = 0;
	readonly #socket: Socket;
	readonly #isDraining: () => boolean;
	#state: ConnectionState<ClientResponse> = {intake: 'open', pending: []};

	constructor(socket: Socket, isDraining: () => boolean) {
		this.#socket = socket;
		this.#isDraining = isDraining;
		connections.set(socket, this);
	}

	/** Number of responses that have not been written completely. */
	get owedCount(): number {
		return this.#state.pending.length;
	}

	/** Whether a response that has ended is still being written. */
	get isWriting(): boolean {
		return this.#state.pending.some(
			({writableEnded, writableFinished}) => writableEnded && !writableFinished,
		);
	}

	/** Closes the connection if it owes no response and has received nothing since the last call. */
	closeIfQuiet(): void {
		const {bytesRead} = this.#socket;
		const isQuiet = bytesRead === this.#bytesRead;
		this.#bytesRead = bytesRead;
		if (isQuiet && this.isUsed && this.#state.pending.length === 0) {
			this.#socket.destroy();
		}
	}

	/**
	 * Counts a response as owed until it has been written.
	 *
	 * @returns whether its request is to be handled
	 */
	addResponse(response: ClientResponse): boolean {
		this.isUsed = true;
		response.owner = this;
		if (this.#step({kind: 'request', request: response}) === 'discard') {
			return false;
		}

		response.once('finish', () => {
			const action = this.#step({kind: 'written', request: response});
			if (action === 'close') {
				this.#socket.destroySoon();
			}
		});
		return true;
	}

	/** Decides whether to close the connection after a response whose head is about to be written. */
	decideClose(request: ClientResponse, wantsClose: boolean): boolean {
		const action = this.#step({
			kind: 'head',
			request,
			wantsClose: wantsClose || this.#isDraining(),
		});
		return action === 'close-after';
	}

	/** Ends the responses that wait behind another one when the client has left; Node.js ends only the one that is being written. */
	handleClose(): void {
		for (const response of this.#state.pending) {
			if (!response.socket) {
				response.destroy();
				response.emit('close');
			}
		}
	}

	/** Handles bytes that are no request, or a request that has not been received in time. */
	handleUnreadable(error: Error): void {
		const [first] = this.#state.pending;
		const last = this.#state.pending.at(-1);
		const isLastPartial = last?.req.complete === false;
		const action = this.#step({kind: 'unreadable', isLastPartial});
		if (action === 'reject') {
			if (this.#socket.writable && first?.headersSent !== true) {
				this.#socket.write(formatRejection(error));
			}

			this.#socket.destroy(error);
		} else if (this.#socket.readableEnded) {
			// The client has left, so that nobody waits for what is owed.
			this.#socket.destroy();
		}
	}

	/**
	 * Handles a request for a tunnel, after which Node.js no longer reads requests
	 * from the connection.
	 *
	 * @returns whether the request can be rejected at once; if not, the connection
	 * is closed after the responses that it owes
	 */
	handleTunnel(): boolean {
		if (this.#step({kind: 'unreadable', isLastPartial: false}) === 'reject') {
			return true;
		}

		// Node.js has removed its own listeners.
		this.#socket.on('drain', () => {
			this.#state.pending[0]?.emit('drain');
		});
		this.#socket.once('end', () => {
			this.#socket.destroy();
		});
		return false;
	}

	#step(message: Message): ConnectionAction {
		const {state, action} = stepConnection(this.#state, message);
		this.#state = state;
		return action;
	}
}
