import type {Socket} from 'node:net';
import {Agent, buildConnector} from 'undici';

/**
 * Creates an HTTP agent that shows each socket it opens.
 *
 * @param options - options of the agent
 * @param onSocket - called with each new socket
 * @returns the agent
 */
export function createCountedAgent(
	options: Agent.Options,
	onSocket: (socket: Socket) => void,
): Agent {
	const connect = buildConnector({});
	return new Agent({
		...options,
		connect(target, callback) {
			connect(target, (...result) => {
				const [, socket] = result;
				if (socket) {
					onSocket(socket);
				}

				callback(...result);
			});
		},
	});
}
