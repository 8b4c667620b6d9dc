import type {IncomingMessage, RequestListener, Server} from 'node:http';
import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {computeSocketWait} from '../../coordination/compute-socket-wait.js';
import {
	headersTimeoutMs,
	maxHeaderBytes,
	requestTimeoutMs,
	serverIdleMs,
} from '../../protocol/constants.js';
import {outcomeHeader, reasonHeader} from '../../protocol/request.js';
import {ClientResponse, type Release} from './client-connection.js';
import {createAcceptQueue, type AcceptedBatch} from './create-accept-queue.js';
import {GracefulServer} from './graceful-server.js';
import {ReceivedRequest} from './received-request.js';

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
	/** Returns the number of responses that are owed to clients, also those that are being written. */
	countOwed(): number;
	/** Closes each connection after the last response that it owes. */
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
	/**
	 * Whether the clients are other nodes, which close idle connections themselves
	 * long before `serverIdleMs`; false when absent. The few idle connections that
	 * are left are then closed by one timer, instead of a time-out that is set
	 * twice for each request.
	 */
	readonly areClientsNodes?: boolean;
	/** Called after a batch of connections has been accepted and none is waiting. */
	readonly onAccepted?: ((batch: AcceptedBatch) => void) | undefined;
	/** Monotonic time, ms; default `performance.now`. */
	readonly now?: (() => number) | undefined;
};

/** Interval at which a stopping server closes idle connections, ms; leaves time for a request in transit on an unused connection. */
const closeIdleIntervalMs = 200;

/** Destroys a connection that fails, or times out, while Node.js does not handle its events. */
function destroySocket(this: Duplex): void {
	this.destroy();
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
	const {areClientsNodes = false} = options;
	const {readMaxWait = readLag, now = () => performance.now()} = options;
	const [host = '', port = '0'] = address.split(':');

	/** Records the waits of a request that has just been read from a connection. */
	function recordWait(
		request: ReceivedRequest,
		release: Release | undefined,
	): void {
		const accepted = release && {
			acceptWaitMs: release.waitMs,
			readableMs: now() - release.at,
		};
		request.acceptWaitMs = release?.waitMs ?? 0;
		request.socketWaitMs = computeSocketWait(readMaxWait(), accepted);
	}

	const server = new GracefulServer(
		{
			// eslint-disable-next-line @typescript-eslint/naming-convention
			IncomingMessage: ReceivedRequest,
			// eslint-disable-next-line @typescript-eslint/naming-convention
			ServerResponse: ClientResponse,
			keepAliveTimeout: areClientsNodes ? 0 : serverIdleMs,
			headersTimeout: headersTimeoutMs,
			requestTimeout: requestTimeoutMs,
			maxHeaderSize: maxHeaderBytes,
		},
		(request, response) => {
			const connection = server.findConnection(request.socket);
			recordWait(request, connection?.release);
			if (connection) {
				connection.release = undefined;
				if (!connection.addResponse(response)) {
					request.resume();
					return;
				}
			}

			listener(request, response);
		},
	);
	server.on('clientError', (error, socket) => {
		const connection = server.findConnection(socket);
		if (connection) {
			connection.handleUnreadable(error);
		} else {
			socket.destroy(error);
		}
	});
	server.on('connect', (_request, socket) => {
		// Node.js has removed its own listeners, and no longer reads from the socket.
		socket.on('error', destroySocket);
		socket.resume();
		if (server.findConnection(socket)?.handleTunnel() === false) {
			return;
		}

		if (socket instanceof Socket) {
			socket.setTimeout(serverIdleMs, destroySocket);
		}

		socket.end(connectRejection);
	});
	const handleConnection = server.detachConnectionHandler();
	const acceptQueue = createAcceptQueue({
		now,
		readMaxWait,
		onBatch: onAccepted,
		release(socket, waitMs) {
			socket.off('error', destroySocket);
			const connection = server.findConnection(socket);
			if (connection) {
				connection.release = {waitMs, at: now()};
			}

			if (!socket.destroyed) {
				handleConnection(socket);
			}
		},
	});
	server.on('connection', (socket) => {
		socket.on('error', destroySocket);
		server.trackConnection(socket);
		acceptQueue.add(socket);
	});

	/** Closes idle connections and those that have had no request. */
	function closeIdleSockets(): void {
		server.closeIdleConnections();
		server.closeUnusedConnections();
	}

	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), host, resolve);
	});
	const quietTimer = areClientsNodes
		? setInterval(() => {
				server.closeQuietConnections();
			}, serverIdleMs)
		: undefined;
	quietTimer?.unref();
	const bound = server.address();
	const boundPort = typeof bound === 'object' ? bound?.port : undefined;
	return {
		server,
		address: `${host}:${boundPort}`,
		readAcceptWaitMs: (request) =>
			request instanceof ReceivedRequest ? request.acceptWaitMs : 0,
		readSocketWaitMs: (request) =>
			request instanceof ReceivedRequest ? request.socketWaitMs : 0,
		countOwed() {
			return server.countOwed();
		},
		drain() {
			server.drain();
		},
		async stop() {
			server.drain();
			clearInterval(quietTimer);
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
