import {readErrorCode} from '../../transport/_lib/read-error-code.js';

/** Answer of a node's administration API, or why there is none. */
export type NodeResponse =
	| {readonly kind: 'answer'; readonly status: number; readonly body: unknown}
	/** The call never left: the node has not seen it. */
	| {readonly kind: 'not-sent'; readonly message: string}
	/** The call may have reached the node. */
	| {readonly kind: 'no-answer'; readonly message: string};

/** Options of `callNode`. */
export type CallOptions = {
	readonly method?: 'GET' | 'POST';
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	/** Longest time for the whole call, ms; 10,000 when absent. */
	readonly timeoutMs?: number;
};

const notSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

function readMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/**
 * Calls the administration API of a node once.
 *
 * @param address - the node's administration address, `IP:PORT`
 * @param path - path and query
 * @param options - see `CallOptions`
 * @returns the answer, or whether the call can have reached the node
 */
export async function callNode(
	address: string,
	path: string,
	options: CallOptions = {},
): Promise<NodeResponse> {
	const {method = 'GET', headers = {}, body, timeoutMs = 10_000} = options;
	// Loaded here, since a node needs no client of nodes.
	const undici = await import('undici');
	const agent = new undici.Agent({
		connect: {timeout: Math.min(timeoutMs, 3000)},
	});
	try {
		const response = await agent.request({
			origin: `http://${address}`,
			path,
			method,
			headers: {...headers},
			body,
			signal: AbortSignal.timeout(timeoutMs),
		});
		const text = await response.body.text();
		return {
			kind: 'answer',
			status: response.statusCode,
			body: JSON.parse(text) as unknown,
		};
	} catch (error) {
		const kind = notSentCodes.has(readErrorCode(error))
			? 'not-sent'
			: 'no-answer';
		return {kind, message: `${address}: ${readMessage(error)}`};
	} finally {
		await agent.destroy();
	}
}
