import type {Socket} from 'node:net';

/** Bytes sent and received on the sockets of one purpose, including headers. */
export type ByteCount = {
	readonly purpose: string;
	readonly sent: number;
	readonly received: number;
};

/** Counts the bytes on sockets by purpose. */
export type ByteCounter = {
	/** Counts a socket from its first byte; does nothing if it is already tracked. */
	track(purpose: string, socket: Socket): void;
	/** Returns the bytes since the last call, by purpose. */
	take(): readonly ByteCount[];
	/** Returns the bytes sent and received since the start. */
	readTotal(): number;
};

type SocketCount = {
	readonly purpose: string;
	readonly sent: number;
	readonly received: number;
};

/**
 * Creates a counter of bytes sent and received on sockets.
 *
 * @returns the counter
 */
export function createByteCounter(): ByteCounter {
	const tracked = new Map<Socket, SocketCount>();
	let counts = new Map<string, ByteCount>();
	let total = 0;

	function updateCounts(socket: Socket): void {
		const {purpose, sent, received} = tracked.get(socket)!;
		const {bytesWritten, bytesRead} = socket;
		const known = counts.get(purpose);
		counts.set(purpose, {
			purpose,
			sent: (known?.sent ?? 0) + bytesWritten - sent,
			received: (known?.received ?? 0) + bytesRead - received,
		});
		total += bytesWritten - sent + bytesRead - received;
		tracked.set(socket, {purpose, sent: bytesWritten, received: bytesRead});
	}

	function updateAllCounts(): void {
		for (const socket of tracked.keys()) {
			updateCounts(socket);
		}
	}

	return {
		track(purpose, socket) {
			if (tracked.has(socket)) {
				return;
			}

			tracked.set(socket, {purpose, sent: 0, received: 0});
			socket.once('close', () => {
				updateCounts(socket);
				tracked.delete(socket);
			});
		},
		take() {
			updateAllCounts();
			const taken = [...counts.values()];
			counts = new Map();
			return taken;
		},
		readTotal() {
			updateAllCounts();
			return total;
		},
	};
}
