import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {waitForTurns} from '../../src/transport/_lib/wait-for-turns.js';

/** Event loop turns for which what a client sends is held. */
const holdTurns = 10;

/** Options of `startRelay`. */
export type RelayOptions = {
	/** Address to which connections are relayed. */
	readonly target: string;
	/** Whether what is sent is held until the receiver has accepted the connection, and until the client may have ended its own. */
	readonly isHeld: () => boolean;
	/** Called when data is held. */
	readonly onHold: () => void;
	/** Called before data is passed on. */
	readonly onData: () => void;
};

/**
 * Starts a relay that can hold what a client sends.
 *
 * @param options - see `RelayOptions`
 * @returns its address and a function that stops it
 */
export async function startRelay({
	target,
	isHeld,
	onHold,
	onData,
}: RelayOptions) {
	const port = Number(target.split(':')[1]);
	const sockets = new Set<Socket>();
	const server = createServer((socket) => {
		const onward = connect(port, '127.0.0.1');
		let passedOn = Promise.resolve();
		for (const side of [socket, onward]) {
			sockets.add(side);
			side.on('error', () => {
				side.destroy();
			});
		}

		onward.on('close', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			// The end arrives behind the data, however long that was held.
			passedOn = passedOn.then(() => {
				onward.destroySoon();
			});
		});
		socket.on('data', (data) => {
			const isHeldNow = isHeld();
			if (isHeldNow) {
				onHold();
			}

			passedOn = passedOn.then(async () => {
				await waitForTurns(isHeldNow ? holdTurns : 0);
				onData();
				onward.write(data);
			});
		});
		onward.on('data', (data) => {
			socket.write(data);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	return {
		address: `127.0.0.1:${typeof bound === 'object' ? bound?.port : 0}`,
		stop() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
}
