import type {Socket} from 'node:net';
import {request} from 'undici';
import {z} from 'zod';
import {platformTimeoutMs} from '../protocol/constants.js';
import type {
	ListOutcome,
	ReadOutcome,
	WriteCondition,
	WriteOutcome,
} from '../protocol/platform.js';
import {createCountedAgent} from './_lib/create-counted-agent.js';
import {readErrorCode} from './_lib/read-error-code.js';

const objectSchema = z.object({
	key: z.string(),
	version: z.number(),
	value: z.unknown(),
});
const listAnswerSchema = z.object({
	items: z.array(objectSchema),
	revision: z.number(),
	more: z.boolean().default(false),
});
const writeAnswerSchema = z.object({version: z.number()});

/** Client of the platform's object API. */
export type PlatformClient = {
	readObject(key: string): Promise<ReadOutcome>;
	writeObject(
		key: string,
		value: unknown,
		condition: WriteCondition,
	): Promise<WriteOutcome>;
	deleteObject(key: string, version: number): Promise<WriteOutcome>;
	listObjects(
		prefix: string,
		after?: string,
		limit?: number,
	): Promise<ListOutcome>;
	watchObjects(
		prefix: string,
		after: number,
		waitMs: number,
	): Promise<ListOutcome>;
	stop(): Promise<void>;
};

type Answer =
	| {readonly kind: 'answer'; readonly status: number; readonly body: unknown}
	| {readonly kind: 'not-sent'}
	| {readonly kind: 'no-answer'};

const notSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

function classifyFailure(error: unknown): Answer {
	return {
		kind: notSentCodes.has(readErrorCode(error)) ? 'not-sent' : 'no-answer',
	};
}

function classifyWrite(answer: Answer): WriteOutcome {
	if (answer.kind === 'not-sent') {
		return {kind: 'unavailable'};
	}

	if (answer.kind === 'no-answer') {
		return {kind: 'unknown'};
	}

	if (answer.status === 200) {
		return {
			kind: 'written',
			version: writeAnswerSchema.parse(answer.body).version,
		};
	}

	if (answer.status === 412 || answer.status === 404) {
		return {kind: 'conflict'};
	}

	return {kind: 'unknown'};
}

function classifyList(answer: Answer): ListOutcome {
	if (answer.kind === 'answer' && answer.status === 410) {
		return {kind: 'compacted'};
	}

	if (answer.kind !== 'answer' || answer.status !== 200) {
		return {kind: 'unavailable'};
	}

	return {kind: 'items', ...listAnswerSchema.parse(answer.body)};
}

/** Options of `createPlatformClient`. */
export type PlatformClientOptions = {
	/** Called with each new socket and what it is for. */
	readonly track?: (purpose: string, socket: Socket) => void;
};

/**
 * Creates a client of the platform's object API.
 *
 * Every call ends in an outcome; a write whose answer was lost is `unknown`.
 *
 * @param baseUrl - base URL of the platform
 * @param options - see `PlatformClientOptions`
 * @returns the client
 * @example
 * await createPlatformClient('http://127.0.0.1:9000').readObject('a');
 */
export function createPlatformClient(
	baseUrl: string,
	options: PlatformClientOptions = {},
): PlatformClient {
	const {track} = options;
	const agent = createCountedAgent(
		{connections: 16, pipelining: 1},
		(socket) => {
			track?.('platform', socket);
		},
	);

	async function callPlatform(
		method: 'GET' | 'PUT' | 'DELETE',
		path: string,
		options: {
			readonly value?: unknown;
			readonly headers?: Record<string, string>;
			readonly timeoutMs?: number;
		} = {},
	): Promise<Answer> {
		const {value, headers = {}, timeoutMs = platformTimeoutMs} = options;
		try {
			const response = await request(`${baseUrl}${path}`, {
				dispatcher: agent,
				method,
				headers: {...headers, 'content-type': 'application/json'},
				body: value === undefined ? undefined : JSON.stringify(value),
				signal: AbortSignal.timeout(timeoutMs),
			});
			const body = await response.body.json();
			return {kind: 'answer', status: response.statusCode, body};
		} catch (error) {
			return classifyFailure(error);
		}
	}

	return {
		async readObject(key) {
			const answer = await callPlatform('GET', `/objects/${key}`);
			if (answer.kind === 'answer' && answer.status === 200) {
				return {kind: 'found', object: objectSchema.parse(answer.body)};
			}

			const isAbsent = answer.kind === 'answer' && answer.status === 404;
			return {kind: isAbsent ? 'absent' : 'unavailable'};
		},
		async writeObject(key, value, condition) {
			const headers: Record<string, string> =
				condition.kind === 'absent'
					? {'if-none-match': '*'}
					: {'if-match': `"${condition.version}"`};
			return classifyWrite(
				await callPlatform('PUT', `/objects/${key}`, {value, headers}),
			);
		},
		async deleteObject(key, version) {
			const headers = {'if-match': `"${version}"`};
			return classifyWrite(
				await callPlatform('DELETE', `/objects/${key}`, {headers}),
			);
		},
		async listObjects(prefix, after = '', limit = 500) {
			const query = new URLSearchParams({
				prefix,
				after,
				limit: String(limit),
			});
			return classifyList(
				await callPlatform('GET', `/objects?${query.toString()}`),
			);
		},
		async watchObjects(prefix, after, waitMs) {
			const query = new URLSearchParams({
				prefix,
				after: String(after),
				waitMs: String(waitMs),
			});
			return classifyList(
				await callPlatform('GET', `/watch?${query.toString()}`, {
					timeoutMs: waitMs + platformTimeoutMs,
				}),
			);
		},
		async stop() {
			await agent.destroy();
		},
	};
}
