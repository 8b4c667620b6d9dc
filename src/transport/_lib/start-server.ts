import {Server, type RequestListener, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	headersTimeoutMs,
	maxHeaderBytes,
	requestTimeoutMs,
	serverIdleMs,
} from '../../protocol/constants.js';
import {outcomeHeader, reasonHeader} from '../../protocol/request.js';
import {createAcceptMeter, type AcceptedBatch} from './create-accept-meter.js';

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
	/** Asks clients, with each further answer, to close their connections. */
	drain(): void;
	/** Stops listening and waits for requests in flight. */
	stop(): Promise<void>;
};

/** Options of `startServer`. */
export type ServerOptions = {
	/** Called after connections have been accepted and none waits any more. */
	readonly onAccepted?: ((batch: AcceptedBatch) => void) | undefined;
};

/** Time for a request that is on its way over an unused connection. */
const closeIntervalMs = 200;

/** Closes idle connections only while no answer is on its way to its client. */
class AnsweringServer extends Server {
	readonly #open = new Set<ServerResponse>();

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
	const {onAccepted = () => undefined} = options;
	const [host = '', port = '0'] = address.split(':');
	let isStopping = false;
	const unused = new Set<Socket>();
	const server = new AnsweringServer(
		{
			keepAliveTimeout: serverIdleMs,
			headersTimeout: headersTimeoutMs,
			requestTimeout: requestTimeoutMs,
			maxHeaderSize: maxHeaderBytes,
		},
		(request, response) => {
			unused.delete(request.socket);
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
	const acceptMeter = createAcceptMeter({
		now: () => performance.now(),
		onBatch: onAccepted,
	});
	server.on('connection', (socket) => {
		acceptMeter.note();
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
