/**
 * Readers of the requests that the platform stand-in gets.
 */
import type {IncomingMessage} from 'node:http';

/**
 * What a data call counts as.
 */
export type CallKind = 'reads' | 'writes' | 'watches';

/**
 * Finds what a call counts as.
 *
 * @param method - HTTP method
 * @param path - path without the query
 * @returns the kind, or undefined when it is no data call
 */
export function findCallKind(
	method: string | undefined,
	path: string,
): CallKind | undefined {
	if (method === 'GET' && path === '/watch') {
		return 'watches';
	}

	if (method === 'GET' && (path === '/objects' || isObjectPath(path))) {
		return 'reads';
	}

	const writes = method === 'PUT' || method === 'DELETE';
	return writes && isObjectPath(path) ? 'writes' : undefined;
}

/**
 * Tells whether a path names an object.
 *
 * @param path - path without the query
 * @returns true when it does
 */
export function isObjectPath(path: string): boolean {
	return path.startsWith('/objects/') && path.length > '/objects/'.length;
}

/**
 * Reads the key that a URL names.
 *
 * @param url - URL of the call
 * @returns the key, or undefined when it is not well encoded
 */
export function readKey(url: URL): string | undefined {
	try {
		return decodeURIComponent(url.pathname.slice('/objects/'.length));
	} catch {
		return undefined;
	}
}

/**
 * Reads a number from 0 up from a query.
 *
 * @param query - the query
 * @param name - name of the parameter
 * @param fallback - value when it is absent
 * @returns the number, or undefined when it is none
 */
export function readInteger(
	query: URLSearchParams,
	name: string,
	fallback: number,
): number | undefined {
	const value = Number(query.get(name) ?? fallback);
	return Number.isSafeInteger(value) && value >= 0 ? value : undefined;
}

/**
 * Reads the condition of a write.
 *
 * @param request - the call
 * @returns the expected version, 0 for absent, or undefined when there is no one valid condition
 */
export function readExpectedVersion(
	request: IncomingMessage,
): number | undefined {
	const match = request.headers['if-match'];
	const noneMatch = request.headers['if-none-match'];
	if (request.method === 'PUT' && noneMatch === '*' && match === undefined) {
		return 0;
	}

	const isQuoted = match?.startsWith('"') === true && match.endsWith('"');
	const version = isQuoted ? Number(match.slice(1, -1)) : 0;
	const isVersion = Number.isSafeInteger(version) && version > 0;
	return isVersion && noneMatch === undefined ? version : undefined;
}
