import {Agent, type AgentOptions, type ClientRequest} from 'node:http';
import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {idleConnectionMs} from '../../protocol/constants.js';

function closeOnData(this: Duplex): void {
	// Data received while no request is in flight belongs to no response.
	this.destroy();
}

/** Options of `createPooledAgent`, besides those of the Node.js agent. */
export type PooledAgentOptions = AgentOptions & {
	/** Called with each new connection. */
	readonly onSocket?: ((socket: Socket) => void) | undefined;
};

/** Keeps connections alive, and closes idle connections on which data arrives. */
class PooledAgent extends Agent {
	readonly #onSocket: PooledAgentOptions['onSocket'];

	constructor({onSocket, ...options}: PooledAgentOptions) {
		super(options);
		this.#onSocket = onSocket;
	}

	override createConnection(
		...parameters: Parameters<Agent['createConnection']>
	): ReturnType<Agent['createConnection']> {
		const connection = super.createConnection(...parameters);
		if (connection instanceof Socket) {
			this.#onSocket?.(connection);
		}

		return connection;
	}

	// eslint-disable-next-line @typescript-eslint/strict-void-return
	override keepSocketAlive(stream: Duplex): boolean {
		// The Node.js typings omit the return value, which decides whether the socket is reused.
		const keep: (stream: Duplex) => unknown = super.keepSocketAlive.bind(this);
		const isKept = keep(stream) === true;
		if (isKept) {
			stream.on('data', closeOnData);
		}

		return isKept;
	}

	override reuseSocket(stream: Duplex, request: ClientRequest): void {
		stream.off('data', closeOnData);
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
