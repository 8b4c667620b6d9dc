/**
 * Helpers shared by the stand-ins: reading bodies, answering JSON, listening and closing.
 */
import {Buffer} from 'node:buffer';
import {
	type IncomingMessage,
	type OutgoingHttpHeaders,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

/** Connections without a request, which Node.js does not treat as idle. */
const unusedSockets = new WeakMap<Server, ReadonlySet<Socket>>();

function trackUnusedSockets(server: Server): void {
	const unused = new Set<Socket>();
	unusedSockets.set(server, unused);
	server.on('connection', (socket) => {
		unused.add(socket);
		socket.once('close', () => {
			unused.delete(socket);
		});
	});
	server.prependListener('request', ({socket}) => {
		unused.delete(socket);
	});
}

/**
 * Reads a request body to its end. Returns undefined if it is longer than `limit` bytes, and throws if it was cut.
 */
export async function readBody(
	request: IncomingMessage,
	limit = Number.POSITIVE_INFINITY,
): Promise<Uint8Array | undefined> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size <= limit) {
			chunks.push(chunk);
		}
	}

	return size <= limit ? Buffer.concat(chunks) : undefined;
}

/**
 * Parses JSON bytes. Returns undefined if they are not JSON.
 */
export function parseJson(bytes: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder().decode(bytes)) as unknown;
	} catch {
		return undefined;
	}
}

/**
 * Answers with a JSON body, if the response can still be written.
 */
export function sendJson(
	response: ServerResponse,
	status: number,
	body: unknown,
	headers: OutgoingHttpHeaders = {},
): void {
	sendJsonText(response, status, JSON.stringify(body), headers);
}

/**
 * Answers with the text of a JSON body, if the response can still be written.
 */
export function sendJsonText(
	response: ServerResponse,
	status: number,
	text: string,
	headers: OutgoingHttpHeaders = {},
): void {
	if (response.destroyed || response.headersSent) {
		return;
	}

	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
		...headers,
	});
	response.end(text);
}

/**
 * Starts listening and returns the base URL.
 */
export async function listenOn(
	server: Server,
	host: string,
	port: number,
): Promise<string> {
	trackUnusedSockets(server);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const address = server.address();
	if (!address || typeof address === 'string') {
		throw new Error('The server has no port');
	}

	return `http://${host.includes(':') ? `[${host}]` : host}:${address.port}`;
}

/**
 * Stops listening, closes connections without a request, and waits until the last request in flight has been answered.
 */
export async function closeServer(server: Server): Promise<void> {
	await new Promise<void>((resolve) => {
		server.close(() => {
			resolve();
		});
		for (const socket of unusedSockets.get(server) ?? []) {
			socket.destroy();
		}
	});
}
