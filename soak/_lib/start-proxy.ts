import {once} from 'node:events';
import {createServer, connect, type Socket} from 'node:net';

/** What a proxy does with what it carries. */
export type ProxyMode =
	| {readonly kind: 'pass'}
	/** Each part waits. */
	| {readonly kind: 'delay'; readonly delayMs: number}
	/** Open connections carry nothing one way or both, and new ones neither. */
	| {readonly kind: 'silent'; readonly ways: 'both' | 'back'}
	/** Open connections are reset, and new ones too. */
	| {readonly kind: 'reset'};

/** A running proxy. */
export type Proxy = {
	readonly address: string;
	setMode(mode: ProxyMode): void;
	stop(): void;
};

const tickMs = 20;

/**
 * Starts a proxy on the loopback interface that can disturb what it carries.
 * What it holds up while it is silent arrives afterwards.
 */
export async function startProxy(
	listen: {readonly host: string; readonly port: number},
	target: string,
): Promise<Proxy> {
	const sockets = new Set<Socket>();
	let mode: ProxyMode = {kind: 'pass'};

	function track(socket: Socket): void {
		sockets.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.once('close', () => {
			sockets.delete(socket);
		});
	}

	/** Writes a part once the mode lets it through. */
	function carry(part: Uint8Array, to: Socket, way: 'there' | 'back'): void {
		const isHeld =
			mode.kind === 'silent' && (mode.ways === 'both' || way === 'back');
		if (isHeld) {
			setTimeout(carry, tickMs, part, to, way);
		} else if (!to.destroyed) {
			to.write(part);
		}
	}

	function join(from: Socket, to: Socket, way: 'there' | 'back'): void {
		from.on('data', (part) => {
			if (mode.kind === 'delay') {
				setTimeout(carry, mode.delayMs, part, to, way);
			} else {
				carry(part, to, way);
			}
		});
		from.once('close', () => {
			to.destroy();
		});
	}

	const server = createServer((near) => {
		track(near);
		if (mode.kind === 'reset') {
			near.resetAndDestroy();
			return;
		}

		const [host, port] = target.split(':');
		const far = connect({host: host!, port: Number(port)});
		track(far);
		join(near, far, 'there');
		join(far, near, 'back');
	});
	server.listen(listen.port, listen.host);
	await once(server, 'listening');
	const bound = server.address();
	const port = typeof bound === 'object' ? bound?.port : 0;
	return {
		address: `${listen.host}:${port}`,
		setMode(next) {
			mode = next;
			for (const socket of next.kind === 'reset' ? sockets : []) {
				socket.resetAndDestroy();
			}
		},
		stop() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
