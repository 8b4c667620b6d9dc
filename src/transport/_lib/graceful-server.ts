import {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {ClientConnection, type ClientResponse} from './client-connection.js';
import type {ReceivedRequest} from './received-request.js';

/** HTTP server that knows what each of its connections owes, and closes none that owes a response. */
export class GracefulServer extends Server<
	typeof ReceivedRequest,
	typeof ClientResponse
> {
	readonly #connections = new Map<Duplex, ClientConnection>();
	#isDraining = false;

	/** Closes each connection after the last response that it owes. */
	drain(): void {
		this.#isDraining = true;
	}

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

	/** Tracks a connection until it is closed. */
	trackConnection(socket: Socket): void {
		const connection = new ClientConnection(socket, () => this.#isDraining);
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			this.#connections.delete(socket);
			connection.handleClose();
		});
	}

	findConnection(socket: Duplex): ClientConnection | undefined {
		return this.#connections.get(socket);
	}

	/** Counts the responses that are owed to clients, also those that are being written. */
	countOwed(): number {
		let count = 0;
		for (const {owedCount} of this.#connections.values()) {
			count += owedCount;
		}

		return count;
	}

	/** Closes the connections that have had no request. */
	closeUnusedConnections(): void {
		for (const [socket, {isUsed}] of this.#connections) {
			if (!isUsed) {
				socket.destroy();
			}
		}
	}

	/** Closes the connections that have been idle since the last call. */
	closeQuietConnections(): void {
		for (const connection of this.#connections.values()) {
			connection.closeIfQuiet();
		}
	}

	override closeIdleConnections(): void {
		// Node treats a connection as idle as soon as its response has been ended,
		// even if it has not been written yet.
		const isWriting = [...this.#connections.values()].some(
			(connection) => connection.isWriting,
		);
		if (!isWriting) {
			super.closeIdleConnections();
		}
	}
}
