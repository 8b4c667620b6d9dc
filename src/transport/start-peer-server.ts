import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import polka from 'polka';
import type {AttemptResult} from '../protocol/attempt.js';
import {defaultDeadlineMs, maxBodyBytes} from '../protocol/constants.js';
import {
	attemptHeader,
	deadlineHeader,
	loadHeader,
	outcomeHeader,
	reasonHeader,
	repeatableHeader,
	requestIdHeader,
	serviceHeader,
	shedHeader,
	teamHeader,
	traceparentHeader,
} from '../protocol/request.js';
import {copyHeaders} from './_lib/copy-headers.js';
import {formatLoad} from './_lib/format-load.js';
import {readBody} from './_lib/read-body.js';
import {sendJson} from './_lib/send-json.js';
import {createListener} from './_lib/create-listener.js';
import {startServer, type RunningServer} from './_lib/start-server.js';
import {gatePrefix} from './create-forwarder.js';
import type {Logger} from './create-logger.js';
import {createPeerRouter, type PeerHandlers} from './create-peer-router.js';
import type {GateTask} from './start-gate-task.js';

/** Options of `startPeerServer`. */
export type PeerServerOptions = {
	readonly address: string;
	readonly gate: GateTask;
	readonly handlers: PeerHandlers;
	readonly logger: Logger;
};

async function sendResult(
	response: ServerResponse,
	result: AttemptResult,
): Promise<void> {
	const load: Record<string, string> = result.load
		? {[loadHeader]: formatLoad(result.load)}
		: {};
	if (result.kind === 'answered') {
		response.writeHead(result.status, {
			...copyHeaders(result.headers),
			...load,
			[outcomeHeader]: 'answered',
		});
		await pipeline(result.body, response);
		return;
	}

	sendJson(
		response,
		result.kind === 'not-run' ? 503 : 504,
		{outcome: result.kind, reason: result.reason},
		{
			...load,
			[outcomeHeader]: result.kind,
			[reasonHeader]: result.reason,
			'retry-after': String(result.retryAfterSeconds),
		},
	);
}

/**
 * Starts the server on which a node takes other nodes' calls and attempts.
 *
 * @param options - see `PeerServerOptions`
 * @returns the running server
 * @example
 * await startPeerServer({address: '127.0.0.1:8081', gate, handlers, logger});
 */
export async function startPeerServer(
	options: PeerServerOptions,
): Promise<RunningServer> {
	const {gate, handlers, logger} = options;

	async function handleAttempt(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const cancelling = new AbortController();
		response.once('close', () => {
			cancelling.abort();
		});
		const body = await readBody(request, 16 * maxBodyBytes);
		if (body.isErr()) {
			response.destroy();
			return;
		}

		const {headers} = request;
		const result = await gate.runAttempt({
			id: String(headers[attemptHeader]),
			requestId: String(headers[requestIdHeader]),
			team: String(headers[teamHeader]),
			service: String(headers[serviceHeader]),
			repeatable: headers[repeatableHeader] === 'true',
			sheddingMeansNotRun: headers[shedHeader] === 'not-run',
			method: request.method ?? 'GET',
			path: (request.url ?? '').slice(gatePrefix.length),
			headers,
			body: body.value,
			remainingMs: Number(headers[deadlineHeader] ?? defaultDeadlineMs),
			signal: cancelling.signal,
			traceparent: headers[traceparentHeader]?.toString(),
		});
		await sendResult(response, result);
	}

	const handleCall = createHTTPHandler({
		router: createPeerRouter(handlers),
		basePath: '/trpc/',
	});
	const app = polka().use((request, response) => {
		if (!request.url.startsWith(`${gatePrefix}/`)) {
			handleCall(request, response);
			return;
		}

		handleAttempt(request, response).catch((error: unknown) => {
			logger.debug('attempt not answered', {error: String(error)});
			response.destroy();
		});
	});
	return startServer(options.address, createListener(app));
}
