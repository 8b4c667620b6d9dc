import {createConnection} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** A response as a client that pipelines saw it. */
export type PipelinedResponse = {
	/** Monotonic ms. */
	readonly receivedAt: number;
	readonly text: string;
};

/** Options of `sendPipelined`. */
export type PipelinedOptions = {
	/** Where the node takes requests. */
	readonly address: string;
	/** Monotonic ms. */
	readonly now: () => number;
	/** Time after which the client gives up, ms. */
	readonly patienceMs: number;
	/** Time after which the client leaves whatever it has received, ms; default never. */
	readonly leavesAfterMs?: number | undefined;
};

/** Start of a response. */
const headStart = /(?=HTTP\/1\.1 [2-5]\d\d )/v;

/**
 * Sends requests on one new connection, all at once.
 *
 * @param requests - the requests as text, the last with `Connection: close`
 * @param options - see `PipelinedOptions`
 * @returns the responses in their order; fewer than requests if the connection
 * has ended before
 */
export async function sendPipelined(
	requests: readonly string[],
	{address, now, patienceMs, leavesAfterMs}: PipelinedOptions,
): Promise<readonly PipelinedResponse[]> {
	const [host, port] = address.split(':');
	const socket = createConnection(Number(port), host);
	const received: number[] = [];
	let text = '';
	socket.setEncoding('utf8');
	socket.on('data', (chunk) => {
		text += String(chunk);
		const count = text.split(headStart).length;
		while (received.length < count) {
			received.push(now());
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.setTimeout(patienceMs, () => {
		socket.destroy();
	});
	const closed = new Promise<void>((resolve) => {
		socket.once('close', () => {
			resolve();
		});
	});
	socket.write(requests.join(''));
	const leaving = new AbortController();
	if (leavesAfterMs !== undefined) {
		void sleep(leavesAfterMs, undefined, {signal: leaving.signal}).then(
			() => socket.destroy(),
			() => undefined,
		);
	}

	await closed;
	leaving.abort();
	return text === ''
		? []
		: text
				.split(headStart)
				.map((part, index) => ({receivedAt: received[index]!, text: part}));
}
