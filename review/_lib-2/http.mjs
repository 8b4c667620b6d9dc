/**
 * Helpers for HTTP servers and for a client on a plain socket, which can send
 * several requests before it has read a response.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';

/**
 * Listens on a port of a loopback address.
 */
export async function listen(server, host, port = 0) {
	server.listen(port, host);
	await once(server, 'listening');
	return `${host}:${server.address().port}`;
}

/**
 * Reads the body of a request as text.
 */
export async function readBody(request) {
	const pieces = [];
	for await (const piece of request) {
		pieces.push(piece);
	}

	return Buffer.concat(pieces).toString();
}

/**
 * Formats the head of a request, and its body.
 */
export function formatRequest({method = 'GET', path, headers = {}, body = ''}) {
	const lines = [`${method} ${path} HTTP/1.1`];
	for (const [name, value] of Object.entries(headers)) {
		lines.push(`${name}: ${value}`);
	}

	if (body !== '' || method === 'POST' || method === 'PUT') {
		lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
	}

	return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

function parseHead(text) {
	const [statusLine, ...lines] = text.split('\r\n');
	const headers = {};
	for (const line of lines) {
		const colon = line.indexOf(':');
		headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
	}

	return {status: Number(statusLine.split(' ')[1]), headers};
}

/** Takes one complete chunked body from the start of the data; undefined if it is not complete. */
function takeChunked(data) {
	const pieces = [];
	let rest = data;
	for (;;) {
		const end = rest.indexOf('\r\n');
		if (end === -1) {
			return undefined;
		}

		const size = Number.parseInt(rest.subarray(0, end).toString(), 16);
		if (rest.length < end + 2 + size + 2) {
			return undefined;
		}

		pieces.push(rest.subarray(end + 2, end + 2 + size));
		rest = rest.subarray(end + 2 + size + 2);
		if (size === 0) {
			return {body: Buffer.concat(pieces), rest};
		}
	}
}

/** Takes one complete response from the start of the data; undefined if it is not complete. */
function takeResponse(data) {
	const headEnd = data.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return undefined;
	}

	const head = parseHead(data.subarray(0, headEnd).toString('latin1'));
	const after = data.subarray(headEnd + 4);
	if (head.headers['transfer-encoding'] === 'chunked') {
		const taken = takeChunked(after);
		return taken && {...head, body: taken.body, rest: taken.rest};
	}

	const length = Number(head.headers['content-length'] ?? 0);
	return after.length < length
		? undefined
		: {...head, body: after.subarray(0, length), rest: after.subarray(length)};
}

/**
 * Opens a connection on which requests are written as given. `onResponse` is
 * called with each complete response, `onClose` with how the connection ended.
 */
export function openConnection(address, {onResponse, onClose}) {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	let data = Buffer.alloc(0);
	let reason = 'closed';
	socket.setNoDelay(true);
	socket.on('data', (piece) => {
		data = Buffer.concat([data, piece]);
		for (let taken = takeResponse(data); taken; taken = takeResponse(data)) {
			data = taken.rest;
			onResponse(taken);
		}
	});
	socket.on('error', (error) => {
		reason = error.code ?? String(error);
	});
	socket.on('close', () => {
		onClose(reason);
	});
	return {
		write(text) {
			socket.write(text);
		},
		close() {
			socket.destroy();
		},
	};
}
