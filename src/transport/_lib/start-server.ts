import {
	Server,
	type IncomingMessage,
	type RequestListener,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {
	headersTimeoutMs,
	maxHeaderBytes,
	requestTimeoutMs,
	serverIdleMs,
} from '../../protocol/constants.js';
import {outcomeHeader, reasonHeader} from '../../protocol/request.js';
import {createAcceptQueue, type AcceptedBatch} from './create-accept-queue.js';

const connectRefusal = [
	'HTTP/1.1 501 Not Implemented',
	`${outcomeHeader}: not-run`,
	`${reasonHeader}: upgrade`,
	'content-length: 0',
	'connection: close',
	'\r\n',
].join('\r\n');

/** An HTTP server that can be stopped without cutting requests. */
export type RunningServer = {
	readonly server: Server;
	readonly address: string;
	/**
	 * Reads how long the connection of a request waited to be accepted, ms; 0
	 * unless the request is the first one on it.
	 */
	readAcceptWaitMs(request: IncomingMessage): number;
	/** Asks clients, with each further answer, to close their connections. */
	drain(): void;
	/** Stops listening and waits for requests in flight. */
	stop(): Promise<void>;
};

/** Options of `startServer`. */
export type ServerOptions = {
	/** How late the event loop runs, ms; not regarded when absent. */
	readonly readLag?: (() => number) | undefined;
	/** Called when connections have been accepted and none waits any more. */
	readonly onAccepted?: ((batch: AcceptedBatch) => void) | undefined;
};

/** Time for a request that is on its way over an unused connection. */
const closeIntervalMs = 200;

/** Ends a connection that its client resets before its first request is read. */
function endSocket(this: Socket): void {
	this.destroy();
}

/** Closes idle connections only while no answer is on its way to its client. */
class AnsweringServer extends Server {
	readonly #open = new Set<ServerResponse>();

	/** Takes over from Node what begins to read requests on a new connection. */
	takeConnectionHandler(): (socket: Socket) => void {
		const handlers = this.listeners('connection');
		this.removeAllListeners('connection');
		return (socket) => {
			for (const handler of handlers) {
				Reflect.apply(handler, this, [socket]);
			}
		};
	}

	/** Notes a response until all of it has been handed to its connection. */
	noteResponse(response: ServerResponse): void {
		this.#open.add(response);
		response.once('close', () => {
			this.#open.delete(response);
		});
	}

	override closeIdleConnections(): void {
		// Node counts a connection as idle as soon as its answer is complete, even
		// if it has not been written yet.
		const isWriting = [...this.#open].some(
			({writableEnded, writableFinished}) => writableEnded && !writableFinished,
		);
		if (!isWriting) {
			super.closeIdleConnections();
		}
	}
}

/**
 * Starts an HTTP server.
 *
 * Node counts a connection that has had no request as busy; on a stop such
 * connections are closed after a short time like idle ones.
 *
 * @param address - IP and port, as `IP:PORT`; port 0 takes a free one
 * @param listener - handles each request
 * @param options - see `ServerOptions`
 * @returns the running server
 */
export async function startServer(
	address: string,
	listener: RequestListener,
	options: ServerOptions = {},
): Promise<RunningServer> {
	const {readLag = () => 0, onAccepted = () => undefined} = options;
	const [host = '', port = '0'] = address.split(':');
	let isStopping = false;
	const unused = new Set<Socket>();
	const waits = new WeakMap<IncomingMessage, number>();
	const connectionWaits = new WeakMap<Socket, number>();
	const server = new AnsweringServer(
		{
			keepAliveTimeout: serverIdleMs,
			headersTimeout: headersTimeoutMs,
			requestTimeout: requestTimeoutMs,
			maxHeaderSize: maxHeaderBytes,
		},
		(request, response) => {
			const {socket} = request;
			unused.delete(socket);
			waits.set(request, connectionWaits.get(socket) ?? 0);
			connectionWaits.delete(socket);
			server.noteResponse(response);
			if (isStopping) {
				response.setHeader('connection', 'close');
			}

			listener(request, response);
		},
	);
	server.on('connect', (_request, socket) => {
		socket.end(connectRefusal);
	});
	const handleConnection = server.takeConnectionHandler();
	const acceptQueue = createAcceptQueue({
		now: () => performance.now(),
		readLag,
		onBatch: onAccepted,
		release(socket, waitMs) {
			socket.off('error', endSocket);
			connectionWaits.set(socket, waitMs);
			if (!socket.destroyed) {
				handleConnection(socket);
			}
		},
	});
	server.on('connection', (socket) => {
		socket.on('error', endSocket);
		acceptQueue.add(socket);
		unused.add(socket);
		socket.once('close', () => {
			unused.delete(socket);
		});
	});

	/** Closes connections on which no request is in flight. */
	function closeUnused(): void {
		server.closeIdleConnections();
		for (const socket of unused) {
			socket.destroy();
		}
	}

	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), host, resolve);
	});
	const bound = server.address();
	const boundPort = typeof bound === 'object' ? bound?.port : undefined;
	return {
		server,
		address: `${host}:${boundPort}`,
		readAcceptWaitMs: (request) => waits.get(request) ?? 0,
		drain() {
			isStopping = true;
		},
		async stop() {
			isStopping = true;
			const timer = setInterval(closeUnused, closeIntervalMs);
			await new Promise<void>((resolve) => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
			clearInterval(timer);
		},
	};
}
