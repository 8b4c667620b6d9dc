import {
	Server,
	type IncomingMessage,
	type RequestListener,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {computeSocketWait} from '../../coordination/compute-socket-wait.js';
import {
	headersTimeoutMs,
	maxHeaderBytes,
	requestTimeoutMs,
	serverIdleMs,
} from '../../protocol/constants.js';
import {outcomeHeader, reasonHeader} from '../../protocol/request.js';
import {createAcceptQueue, type AcceptedBatch} from './create-accept-queue.js';

const connectRejection = [
	'HTTP/1.1 501 Not Implemented',
	`${outcomeHeader}: not-run`,
	`${reasonHeader}: upgrade`,
	'content-length: 0',
	'connection: close',
	'\r\n',
].join('\r\n');

/** An HTTP server that can be stopped gracefully. */
export type RunningServer = {
	readonly server: Server;
	readonly address: string;
	/**
	 * Returns how long the connection of a request waited to be accepted, ms; 0
	 * unless the request is the first on its connection.
	 */
	readAcceptWaitMs(request: IncomingMessage): number;
	/** Returns the longest time for which a request may have waited to be read, ms. */
	readSocketWaitMs(request: IncomingMessage): number;
	/** Sends `connection: close` with each further response. */
	drain(): void;
	/** Stops listening and waits until requests in flight are completed. */
	stop(): Promise<void>;
};

/** Options of `startServer`. */
export type ServerOptions = {
	/** Returns the event loop lag, ms; taken as 0 when absent. */
	readonly readLag?: (() => number) | undefined;
	/** Returns the longest time for which data that is being read may have waited in a socket, ms; `readLag` when absent. */
	readonly readMaxWait?: (() => number) | undefined;
	/** Called after a batch of connections has been accepted and none is waiting. */
	readonly onAccepted?: ((batch: AcceptedBatch) => void) | undefined;
	/** Monotonic time, ms; default `performance.now`. */
	readonly now?: (() => number) | undefined;
};

/** Release of a connection from the accept queue, after which the server reads from it. */
type Release = {
	/** Longest wait of the connection before its release, ms. */
	readonly waitMs: number;
	/** When it was released, monotonic ms. */
	readonly at: number;
};

/** Waits of a request before it was read, ms. */
type RequestWait = {readonly acceptMs: number; readonly socketMs: number};

/** Interval at which a stopping server closes idle connections, ms; leaves time for a request in transit on an unused connection. */
const closeIdleIntervalMs = 200;

/** Destroys a connection that its client resets before its first request is read. */
function destroySocket(this: Socket): void {
	this.destroy();
}

/** Server that closes idle connections only while no response is being written. */
class GracefulServer extends Server {
	readonly #openResponses = new Set<ServerResponse>();

	/** Removes Node's handlers of new connections and returns a function that runs them, which starts to read requests. */
	detachConnectionHandler(): (socket: Socket) => void {
		const handlers = this.listeners('connection');
		this.removeAllListeners('connection');
		return (socket) => {
			for (const handler of handlers) {
				Reflect.apply(handler, this, [socket]);
			}
		};
	}

	/** Tracks a response until it is closed. */
	trackResponse(response: ServerResponse): void {
		this.#openResponses.add(response);
		response.once('close', () => {
			this.#openResponses.delete(response);
		});
	}

	override closeIdleConnections(): void {
		// Node treats a connection as idle as soon as its response has been ended,
		// even if it has not been written yet.
		const isWriting = [...this.#openResponses].some(
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
 * Node does not treat a connection without any request as idle; on a stop, such
 * connections are closed after a short time like idle ones.
 *
 * @param address - IP and port, as `IP:PORT`; port 0 selects a free port
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
	const {readMaxWait = readLag, now = () => performance.now()} = options;
	const [host = '', port = '0'] = address.split(':');
	let isStopping = false;
	const unusedSockets = new Set<Socket>();
	const waits = new WeakMap<IncomingMessage, RequestWait>();
	const releases = new WeakMap<Socket, Release>();

	/** Computes the waits of a request that has just been read from a connection. */
	function takeWait(socket: Socket): RequestWait {
		const release = releases.get(socket);
		releases.delete(socket);
		const acceptMs = release?.waitMs ?? 0;
		const accepted = release && {
			acceptWaitMs: acceptMs,
			readableMs: now() - release.at,
		};
		return {acceptMs, socketMs: computeSocketWait(readMaxWait(), accepted)};
	}

	const server = new GracefulServer(
		{
			keepAliveTimeout: serverIdleMs,
			headersTimeout: headersTimeoutMs,
			requestTimeout: requestTimeoutMs,
			maxHeaderSize: maxHeaderBytes,
		},
		(request, response) => {
			const {socket} = request;
			unusedSockets.delete(socket);
			waits.set(request, takeWait(socket));
			server.trackResponse(response);
			if (isStopping) {
				response.setHeader('connection', 'close');
			}

			listener(request, response);
		},
	);
	server.on('connect', (_request, socket) => {
		socket.end(connectRejection);
	});
	const handleConnection = server.detachConnectionHandler();
	const acceptQueue = createAcceptQueue({
		now,
		readMaxWait,
		onBatch: onAccepted,
		release(socket, waitMs) {
			socket.off('error', destroySocket);
			releases.set(socket, {waitMs, at: now()});
			if (!socket.destroyed) {
				handleConnection(socket);
			}
		},
	});
	server.on('connection', (socket) => {
		socket.on('error', destroySocket);
		acceptQueue.add(socket);
		unusedSockets.add(socket);
		socket.once('close', () => {
			unusedSockets.delete(socket);
		});
	});

	/** Closes idle connections and those that have had no request. */
	function closeIdleSockets(): void {
		server.closeIdleConnections();
		for (const socket of unusedSockets) {
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
		readAcceptWaitMs: (request) => waits.get(request)?.acceptMs ?? 0,
		readSocketWaitMs: (request) => waits.get(request)?.socketMs ?? 0,
		drain() {
			isStopping = true;
		},
		async stop() {
			isStopping = true;
			const timer = setInterval(closeIdleSockets, closeIdleIntervalMs);
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
