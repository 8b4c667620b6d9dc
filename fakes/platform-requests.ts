/**
 * Readers of the requests that the platform stand-in gets.
 */
import {z} from 'zod';

/**
 * A data call: what is asked of which object or kind of objects.
 */
export type DataCall =
	| {readonly kind: 'read'; readonly key: string}
	| {readonly kind: 'list'; readonly prefix: string; readonly after: string}
	| {
			readonly kind: 'watch';
			readonly prefix: string;
			readonly revision: number;
			readonly waitMs: number;
	  }
	| {readonly kind: 'create'; readonly prefix: string}
	| {readonly kind: 'replace'; readonly key: string}
	| {readonly kind: 'status'; readonly key: string}
	| {
			readonly kind: 'delete';
			readonly key: string;
			/** Expected revision; absent for any. */
			readonly revision: number | undefined;
	  };

/**
 * What a data call counts as.
 */
export type CallKind = 'reads' | 'writes' | 'watches';

/**
 * An object as it is written.
 */
export const writtenSchema = z.object({
	metadata: z.object({
		name: z.string().min(1).optional(),
		revision: z.int().min(0).optional(),
	}),
	spec: z.unknown().optional(),
	status: z.unknown().optional(),
});

const pathPattern =
	/^\/objects\/(?<kind>[^\/]+)(?:\/(?<name>[^\/]+)(?<status>\/status)?)?$/v;

/**
 * Finds what a data call counts as.
 *
 * @param call - the call
 * @returns the kind
 */
export function findCallKind(call: DataCall): CallKind {
	switch (call.kind) {
		case 'read':
		case 'list': {
			return 'reads';
		}

		case 'watch': {
			return 'watches';
		}

		case 'create':
		case 'replace':
		case 'status':
		case 'delete': {
			return 'writes';
		}
	}
}

function decodePart(part: string | undefined): string | undefined {
	try {
		return part === undefined ? undefined : decodeURIComponent(part);
	} catch {
		return undefined;
	}
}

/**
 * Parses a data call.
 *
 * @param method - HTTP method
 * @param url - URL of the call
 * @returns the call, or undefined when it is none or not well formed
 */
export function parseCall(
	method: string | undefined,
	url: URL,
): DataCall | undefined {
	const {
		kind: kindPart,
		name: namePart,
		status,
	} = pathPattern.exec(url.pathname)?.groups ?? {};
	const kind = decodePart(kindPart);
	const name = decodePart(namePart);
	if (kind === undefined || (namePart !== undefined && name === undefined)) {
		return undefined;
	}

	const prefix = `${kind}/`;
	if (status !== undefined) {
		return method === 'PUT'
			? {kind: 'status', key: `${prefix}${name}`}
			: undefined;
	}

	return name === undefined
		? parseKindCall(method, prefix, url.searchParams)
		: parseObjectCall(method, prefix + name, url.searchParams);
}

function parseKindCall(
	method: string | undefined,
	prefix: string,
	query: URLSearchParams,
): DataCall | undefined {
	if (method === 'POST') {
		return {kind: 'create', prefix};
	}

	if (method !== 'GET') {
		return undefined;
	}

	if (!query.has('watch')) {
		const after = query.get('after');
		return {kind: 'list', prefix, after: after ? prefix + after : ''};
	}

	const revision = readInteger(query, 'watch', 0);
	const waitMs = readInteger(query, 'wait_ms', 0);
	return revision === undefined || waitMs === undefined
		? undefined
		: {kind: 'watch', prefix, revision, waitMs};
}

function parseObjectCall(
	method: string | undefined,
	key: string,
	query: URLSearchParams,
): DataCall | undefined {
	switch (method) {
		case 'GET': {
			return {kind: 'read', key};
		}

		case 'PUT': {
			return {kind: 'replace', key};
		}

		case 'DELETE': {
			const revision = query.has('revision')
				? readInteger(query, 'revision', 0)
				: undefined;
			return {kind: 'delete', key, revision};
		}

		case undefined: {
			return undefined;
		}

		default: {
			return undefined;
		}
	}
}

function readInteger(
	query: URLSearchParams,
	name: string,
	fallback: number,
): number | undefined {
	const value = Number(query.get(name) ?? fallback);
	return Number.isSafeInteger(value) && value >= 0 ? value : undefined;
}
