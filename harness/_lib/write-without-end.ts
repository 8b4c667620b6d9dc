import type {Socket} from 'node:net';

/**
 * Writes data again and again until the connection is closed.
 *
 * @param socket - the connection
 * @param data - what is written each time
 */
export function writeWithoutEnd(socket: Socket, data: Uint8Array): void {
	const write = (): void => {
		if (!socket.destroyed) {
			socket.write(data, write);
		}
	};

	write();
}
