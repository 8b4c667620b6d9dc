import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {Socket} from 'node:net';

/**
 * Calls a function whenever this process begins to open a connection to an
 * address.
 *
 * @param listeners - functions by address
 * @returns a function that ends the calls
 */
export function reportConnections(
	listeners: ReadonlyMap<string, () => void>,
): () => void {
	function watch(message: unknown): void {
		const isCreation =
			typeof message === 'object' && message !== null && 'socket' in message;
		if (isCreation && message.socket instanceof Socket) {
			message.socket.once('connectionAttempt', (host, port) => {
				listeners.get(`${host}:${port}`)?.();
			});
		}
	}

	subscribe('net.client.socket', watch);
	return () => {
		unsubscribe('net.client.socket', watch);
	};
}
