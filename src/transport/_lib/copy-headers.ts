import type {IncomingHttpHeaders} from 'node:http';

const hopByHopHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

const internalHeaderPrefix = 'boragehitch-';

function listConnectionOptions(connection: string): readonly string[] {
	return connection.split(',').map((name) => name.trim().toLowerCase());
}

/**
 * Copies headers, except for hop-by-hop headers (RFC 9110, section 7.6.1) and
 * this system's internal headers.
 *
 * @param headers - headers as received
 * @returns headers to forward, in a new object that the caller may modify
 */
export function copyHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
	const {connection} = headers;
	const namesNoHeaders =
		connection === undefined ||
		connection === 'keep-alive' ||
		connection === 'close';
	const connectionOptions = namesNoHeaders
		? []
		: listConnectionOptions(connection);
	const copy: IncomingHttpHeaders = {};
	for (const name of Object.keys(headers)) {
		if (
			!hopByHopHeaders.has(name) &&
			!name.startsWith(internalHeaderPrefix) &&
			!connectionOptions.includes(name)
		) {
			copy[name] = headers[name];
		}
	}

	return copy;
}
