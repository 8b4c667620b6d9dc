import {Agent, type AgentOptions, type ClientRequest} from 'node:http';
import type {Duplex} from 'node:stream';
import {idleConnectionMs} from '../../protocol/constants.js';

function closeOnData(this: Duplex): void {
	// Bytes that come while no request waits belong to no answer.
	this.destroy();
}

/** Keeps connections open, and closes idle ones on which bytes arrive. */
class PooledAgent extends Agent {
	override keepSocketAlive(stream: Duplex): boolean {
		// Node's own typing leaves out that the result decides about reuse.
		// eslint-disable-next-line @typescript-eslint/no-confusing-void-expression
		const isKept = super.keepSocketAlive(stream) as unknown as boolean;
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
 * Creates an agent that keeps connections open for a short time.
 *
 * An idle connection is closed after `idleConnectionMs`, or sooner when the
 * server says so (`Keep-Alive`), and at once when bytes arrive on it.
 *
 * @param options - options of Node's agent that differ
 * @returns the agent
 */
export function createPooledAgent(options: AgentOptions = {}): Agent {
	return new PooledAgent({
		keepAlive: true,
		scheduling: 'lifo',
		timeout: idleConnectionMs,
		...options,
	});
}
