import type {IncomingHttpHeaders} from 'node:http';

const hopByHop = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'host',
	'expect',
]);

/**
 * Copies headers without hop-by-hop ones (RFC 9110, section 7.6.1) and without
 * this system's own.
 *
 * @param headers - headers as received
 * @returns headers to send on
 */
export function copyHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
	const named = new Set(
		String(headers.connection ?? '')
			.split(',')
			.map((name) => name.trim().toLowerCase()),
	);
	const copy: IncomingHttpHeaders = {};
	for (const [name, value] of Object.entries(headers)) {
		if (
			!hopByHop.has(name) &&
			!named.has(name) &&
			!name.startsWith('boragehitch-')
		) {
			copy[name] = value;
		}
	}

	return copy;
}
