import {Agent, type AgentOptions, type ClientRequest} from 'node:http';
import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {idleConnectionMs} from '../../protocol/constants.js';

/** Set on a connection on which no request is in flight. */
const isIdle = Symbol('isIdle');

type PooledConnection = Duplex & {[isIdle]?: boolean};

function closeIfIdle(this: PooledConnection): void {
	if (this[isIdle]) {
		// Data received while no request is in flight belongs to no response.
		this.destroy();
	}
}

/** Options of `createPooledAgent`, besides those of the Node.js agent. */
export type PooledAgentOptions = AgentOptions & {
	/** Called with each new connection. */
	readonly onSocket?: ((socket: Socket) => void) | undefined;
};

/** Keeps connections alive, and closes idle connections on which data arrives. */
class PooledAgent extends Agent {
	readonly #onSocket: PooledAgentOptions['onSocket'];
	/** The Node.js typings omit the return value, which decides whether the socket is reused. */
	readonly #keep: (stream: Duplex) => unknown;

	constructor({onSocket, ...options}: PooledAgentOptions) {
		super(options);
		this.#onSocket = onSocket;
		this.#keep = super.keepSocketAlive.bind(this);
	}

	override createConnection(
		...parameters: Parameters<Agent['createConnection']>
	): ReturnType<Agent['createConnection']> {
		const connection = super.createConnection(...parameters);
		if (connection instanceof Socket) {
			this.#onSocket?.(connection);
			// One listener for all requests: adding one for each idle time makes the
			// stream schedule a resumption twice a request.
			connection.on('data', closeIfIdle);
		}

		return connection;
	}

	// eslint-disable-next-line @typescript-eslint/strict-void-return
	override keepSocketAlive(stream: PooledConnection): boolean {
		const isKept = this.#keep(stream) === true;
		stream[isIdle] = isKept;
		return isKept;
	}

	override reuseSocket(stream: PooledConnection, request: ClientRequest): void {
		stream[isIdle] = false;
		super.reuseSocket(stream, request);
	}
}

/**
 * Creates an agent that keeps idle connections open for a short time.
 *
 * An idle connection is closed after `idleConnectionMs`, earlier if the server
 * requests it (`Keep-Alive` header), and immediately if data arrives on it.
 *
 * @param options - see `PooledAgentOptions`
 * @returns the agent
 */
export function createPooledAgent(options: PooledAgentOptions = {}): Agent {
	return new PooledAgent({
		keepAlive: true,
		scheduling: 'lifo',
		timeout: idleConnectionMs,
		...options,
	});
}
