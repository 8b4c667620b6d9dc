import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import polka from 'polka';
import {computeUnreadTime} from '../coordination/compute-unread-time.js';
import type {Attempt, AttemptResult} from '../protocol/attempt.js';
import type {CancelSignal} from '../protocol/cancel-signal.js';
import {
	maxBodyBytes,
	maxBufferedBytes,
	bodyMemoryBudgetBytes,
	keepaliveIntervalMs,
} from '../protocol/constants.js';
import {
	attemptHeader,
	deadlineHeader,
	loadHeader,
	noticeHeader,
	outcomeHeader,
	reasonHeader,
	requestIdHeader,
	stampHeader,
} from '../protocol/request.js';
import {abortResponse, type AbortCause} from './_lib/abort-response.js';
import type {AcceptedBatch} from './_lib/create-accept-queue.js';
import {
	createBodyMemoryBudget,
	type BodyMemoryBudget,
} from './_lib/create-body-memory-budget.js';
import {createCallHandler} from './_lib/create-call-handler.js';
import {createCancelSource} from './_lib/create-cancel-source.js';
import {discardBody} from './_lib/discard-body.js';
import {formatLoad} from './_lib/format-load.js';
import {formatNotice} from './_lib/format-notice.js';
import {formatStamp} from './_lib/format-stamp.js';
import {readAttempt} from './_lib/read-attempt.js';
import {readProcedureName} from './_lib/read-procedure-name.js';
import {readRequestBody} from './_lib/read-request-body.js';
import {sendUpstreamResponse} from './_lib/send-upstream-response.js';
import {sendJson} from './_lib/send-json.js';
import {createListener} from './_lib/create-listener.js';
import {hasClientDisconnected} from './_lib/has-client-disconnected.js';
import {startServer, type RunningServer} from './_lib/start-server.js';
import {answersPath, gatePrefix} from './create-forwarder.js';
import type {Logger} from './create-logger.js';
import {
	createPeerRouter,
	type PeerCall,
	type PeerHandlers,
} from './create-peer-router.js';
import type {GateTask} from './start-gate-task.js';

/** Options of `startPeerServer`. */
export type PeerServerOptions = {
	readonly address: string;
	readonly gate: GateTask;
	readonly handlers: PeerHandlers;
	readonly logger: Logger;
	/** Where long bodies wait; a memory of its own when absent. */
	readonly bodyMemory?: BodyMemoryBudget;
	/** How late the event loop runs, ms; not regarded when absent. */
	readonly readLag?: () => number;
	/** Called when connections have been accepted and none waits any more. */
	readonly onAccepted?: (batch: AcceptedBatch) => void;
	/** Called with the socket of each call and what it is for. */
	readonly track?: (purpose: string, socket: Socket) => void;
};

/** Longest body of a forwarded attempt; routes have lower limits. */
const maxForwardedBytes = 16 * maxBodyBytes;

const noBody = new Uint8Array();

function createOwnHeaders(result: AttemptResult): Record<string, string> {
	const headers: Record<string, string> = {[outcomeHeader]: result.kind};
	if (result.load) {
		headers[loadHeader] = formatLoad(result.load);
		const {notice} = result.load;
		if (notice) {
			headers[noticeHeader] = formatNotice(notice);
		}
	}

	if (result.stamp) {
		headers[stampHeader] = formatStamp(result.stamp);
	}

	return headers;
}

async function sendResult(
	response: ServerResponse,
	result: AttemptResult,
): Promise<void> {
	const own = createOwnHeaders(result);
	if (result.kind === 'answered') {
		await sendUpstreamResponse(response, result, own);
		return;
	}

	const {kind, reason} = result;
	sendJson(
		response,
		kind === 'not-run' ? 503 : 504,
		{outcome: kind, reason},
		{
			...own,
			[reasonHeader]: reason,
			'retry-after': String(result.retryAfterSeconds),
		},
	);
}

function createPeerCall(response: ServerResponse): PeerCall {
	const {socket} = response;
	return {
		onWritten(listener) {
			const startedAt = performance.now();
			const before = socket?.bytesWritten ?? 0;
			response.once('close', () => {
				listener({
					bytes: (socket?.bytesWritten ?? 0) - before,
					durationMs: performance.now() - startedAt,
					isWhole: response.writableFinished,
				});
			});
		},
	};
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
	const {gate, handlers, logger, readLag = () => 0} = options;
	const {bodyMemory = createBodyMemoryBudget(bodyMemoryBudgetBytes)} = options;

	function abort(
		{headers}: IncomingMessage,
		response: ServerResponse,
		cause: AbortCause,
	): void {
		const requestId = headers[requestIdHeader]?.toString();
		abortResponse(response, {cause, requestId, logger});
	}

	/** Reads the head of an attempt, whose body may still be coming. */
	function readHead(request: IncomingMessage, signal: CancelSignal): Attempt {
		return readAttempt(request.headers, {
			method: request.method ?? 'GET',
			path: (request.url ?? '').slice(gatePrefix.length),
			body: noBody,
			signal,
		});
	}

	/** Refuses a long body before it has come, where it would be in vain. */
	function refuseByHead(
		{headers}: IncomingMessage,
		head: Attempt,
	): AttemptResult | undefined {
		const isLong = Number(headers['content-length']) > maxBufferedBytes;
		return isLong ? gate.refuseBeforeBody(head) : undefined;
	}

	/** Runs an attempt whose body is there, or is read as it comes. */
	async function runArrived(
		request: IncomingMessage,
		attempt: Attempt,
		arrivedAt: number,
	): Promise<AttemptResult | 'sender-left'> {
		const lagMs = Math.max(readLag(), server.readAcceptWaitMs(request));
		const isAgeKnown = attempt.createdAtGateMs !== undefined;
		if (await hasClientDisconnected(request, lagMs, {isAgeKnown})) {
			return 'sender-left';
		}

		const unreadMs = computeUnreadTime(lagMs) + performance.now() - arrivedAt;
		const result = await gate.runAttempt({...attempt, unreadMs});
		if (attempt.body instanceof Readable && result.kind !== 'answered') {
			discardBody(attempt.body);
		}

		return result;
	}

	async function handleAttempt(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const arrivedAt = performance.now();
		const cancelling = createCancelSource();
		const head = readHead(request, cancelling.signal);
		const refusal = refuseByHead(request, head);
		if (refusal) {
			discardBody(request);
			await sendResult(response, refusal);
			return;
		}

		// Also while a long body comes in over a thin link.
		const signs = setInterval(() => {
			response.writeProcessing();
		}, keepaliveIntervalMs);
		const body = await readRequestBody(request, {
			maxBytes: maxForwardedBytes,
			memory: bodyMemory,
			timeoutMs: head.remainingMs,
		});
		if (body.kind === 'refused') {
			clearInterval(signs);
			abort(request, response, {kind: 'body-refused', reason: body.reason});
			return;
		}

		response.once('close', () => {
			if (response.writableFinished) {
				return;
			}

			if (head.repeatable) {
				cancelling.abort();
			} else {
				// One that runs goes on, so that its answer can be fetched over
				// another connection.
				gate.cancelQueued(head.id);
			}
		});
		const attempt = {...head, body: body.body};
		const result = await runArrived(request, attempt, arrivedAt);
		clearInterval(signs);
		bodyMemory.release(body.reservedBytes);
		if (result === 'sender-left') {
			abort(request, response, {kind: 'sender-left'});
			return;
		}

		await sendResult(response, result);
	}

	async function handleFetch(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const cancelling = createCancelSource();
		response.once('close', () => {
			cancelling.abort();
		});
		const result = await gate.fetchAnswer(
			String(request.headers[attemptHeader]),
			Number(request.headers[deadlineHeader]),
			cancelling.signal,
		);
		await sendResult(response, result);
	}

	async function handleGateRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		return request.url === answersPath
			? handleFetch(request, response)
			: handleAttempt(request, response);
	}

	const handleCall = createCallHandler({
		router: createPeerRouter(handlers),
		maxBytes: maxForwardedBytes,
		createContext: createPeerCall,
	});
	const app = polka().use((request, response) => {
		const {url} = request;
		if (!url.startsWith(`${gatePrefix}/`) && url !== answersPath) {
			options.track?.(readProcedureName(url), request.socket);
			handleCall(request, response).catch((error: unknown) => {
				logger.debug('call not answered', {error: String(error)});
				response.destroy();
			});
			return;
		}

		handleGateRequest(request, response).catch((error: unknown) => {
			abort(request, response, {kind: 'failed', error});
		});
	});
	const server = await startServer(options.address, createListener(app), {
		readLag,
		onAccepted: options.onAccepted,
	});
	return server;
}
