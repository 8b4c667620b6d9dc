import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import polka from 'polka';
import {computeTransitTime} from '../coordination/compute-transit-time.js';
import {computeUnreadTime} from '../coordination/compute-unread-time.js';
import {isBehind} from '../coordination/is-behind.js';
import type {Attempt, AttemptResult} from '../protocol/attempt.js';
import type {CancelSignal} from '../protocol/cancel-signal.js';
import {
	maxBodyBytes,
	maxBufferedBytes,
	maxCallBytes,
	bodyMemoryBudgetBytes,
	keepaliveIntervalMs,
	lagThresholdMs,
	retryAfterSeconds,
} from '../protocol/constants.js';
import {
	attemptHeader,
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
import {createProblemLog} from './_lib/create-problem-log.js';
import {discardBody} from './_lib/discard-body.js';
import {formatLoad} from './_lib/format-load.js';
import {formatNotice} from './_lib/format-notice.js';
import {formatStamp} from './_lib/format-stamp.js';
import {readAttempt, type ReceivedAttempt} from './_lib/read-attempt.js';
import {readDeadline} from './_lib/read-deadline.js';
import {readProcedureName} from './_lib/read-procedure-name.js';
import {noBody, readRequestBody} from './_lib/read-request-body.js';
import {sendUpstreamResponse} from './_lib/send-upstream-response.js';
import {createListener} from './_lib/create-listener.js';
import {createSharedTimer} from './_lib/create-shared-timer.js';
import {hasBody} from './_lib/has-body.js';
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
	/** Memory budget for buffered request bodies; the server creates its own when absent. */
	readonly bodyMemory?: BodyMemoryBudget;
	/** Returns the event loop lag, ms; 0 when absent. */
	readonly readLag?: () => number;
	/** Returns the longest time for which data that is being read may have waited in a socket, ms; `readLag` when absent. */
	readonly readMaxWait?: () => number;
	/** Monotonic time, ms; default `performance.now`. */
	readonly now?: () => number;
	/** Called when new connections have been accepted and none is left in the accept queue. */
	readonly onAccepted?: (batch: AcceptedBatch) => void;
	/** Called with the socket of each call and its purpose, which is the name of the procedure. */
	readonly track?: (purpose: string, socket: Socket) => void;
};

/** Maximum body length of a forwarded attempt; the limits of routes are lower. */
const maxForwardedBytes = 16 * maxBodyBytes;

/** Lengths of what is logged of a call that cannot be read. */
const maxProcedureLength = 32;
const maxReasonLength = 300;

/** Result of an attempt without an identifier. */
const unidentifiedResult: AttemptResult = {
	kind: 'not-run',
	reason: 'bad-request',
	retryAfterSeconds,
	load: undefined,
	stamp: undefined,
};

const emptyBody = new Uint8Array();

function createResultHeaders(result: AttemptResult): Record<string, string> {
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
	const resultHeaders = createResultHeaders(result);
	if (result.kind === 'answered') {
		await sendUpstreamResponse(response, result, resultHeaders);
		return;
	}

	// Other nodes read the headers only.
	resultHeaders[reasonHeader] = result.reason;
	resultHeaders['retry-after'] = String(result.retryAfterSeconds);
	resultHeaders['content-length'] = '0';
	response.writeHead(result.kind === 'not-run' ? 503 : 504, resultHeaders);
	response.end();
}

function createPeerCall(response: ServerResponse): PeerCall {
	const {socket} = response;
	return {
		onWritten(listener) {
			const startedAt = performance.now();
			const bytesBefore = socket?.bytesWritten ?? 0;
			response.once('close', () => {
				listener({
					bytes: (socket?.bytesWritten ?? 0) - bytesBefore,
					durationMs: performance.now() - startedAt,
					isWhole: response.writableFinished,
				});
			});
		},
	};
}

/**
 * Starts the server that handles calls and attempts from other nodes.
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
	const {now = () => performance.now()} = options;
	const {bodyMemory = createBodyMemoryBudget(bodyMemoryBudgetBytes)} = options;

	const logUnreadable = createProblemLog({
		logger,
		message: 'part of a message not readable',
		now,
	});

	function abort(
		{headers}: IncomingMessage,
		response: ServerResponse,
		cause: AbortCause,
	): void {
		const requestId = headers[requestIdHeader]?.toString();
		abortResponse(response, {cause, requestId, logger});
	}

	/** Reads the head of an attempt, whose body may not have arrived yet. */
	function readHead(
		request: IncomingMessage,
		signal: CancelSignal,
	): ReceivedAttempt {
		return readAttempt(request.headers, {
			method: request.method ?? 'GET',
			path: (request.url ?? '').slice(gatePrefix.length),
			body: emptyBody,
			signal,
		});
	}

	/** Refuses an attempt with a long body before the body is read, if the gate would refuse it anyway. */
	function refuseEarly(
		{headers}: IncomingMessage,
		head: Attempt,
	): AttemptResult | undefined {
		const isLong = Number(headers['content-length']) > maxBufferedBytes;
		return isLong ? gate.refuseBeforeBody(head) : undefined;
	}

	/** Runs an attempt whose body has been read or is streamed. */
	async function runReceivedAttempt(
		request: IncomingMessage,
		attempt: ReceivedAttempt,
		arrivedAt: number,
	): Promise<AttemptResult | 'sender-left'> {
		// The end of the sender's connection may lie behind an attempt that was delayed on its way.
		const transitMs = computeTransitTime(attempt, now());
		const lagMs = Math.max(
			readLag(),
			server.readAcceptWaitMs(request),
			isBehind(transitMs) ? transitMs : 0,
		);
		const isAgeKnown = attempt.createdAtGateMs !== undefined;
		const mayHaveLeft = !isAgeKnown || lagMs > lagThresholdMs;
		if (
			mayHaveLeft &&
			(await hasClientDisconnected(request, lagMs, {isAgeKnown}))
		) {
			return 'sender-left';
		}

		const waitedMs = computeUnreadTime(server.readSocketWaitMs(request));
		attempt.unreadMs = waitedMs + now() - arrivedAt;
		const result = await gate.runAttempt(attempt);
		if (attempt.body instanceof Readable && result.kind !== 'answered') {
			discardBody(attempt.body);
		}

		return result;
	}

	/** Tells the senders of running attempts that their gate is there; also while a long body arrives over a slow link. */
	const keepalives = createSharedTimer<ServerResponse>({
		onDue(response) {
			keepalives.start(response, keepaliveIntervalMs);
			response.writeProcessing();
		},
		now: () => performance.now(),
	});

	async function handleAttempt(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const arrivedAt = now();
		if (request.headers[attemptHeader] === undefined) {
			// Without identifiers, two attempts would count as one.
			logUnreadable([{place: attemptHeader, reason: 'missing'}], 'attempt');
			discardBody(request);
			await sendResult(response, unidentifiedResult);
			return;
		}

		const cancelSource = createCancelSource();
		const attempt = readHead(request, cancelSource.signal);
		const refusal = refuseEarly(request, attempt);
		if (refusal) {
			discardBody(request);
			await sendResult(response, refusal);
			return;
		}

		keepalives.start(response, keepaliveIntervalMs);
		const body = hasBody(request.headers)
			? await readRequestBody(request, {
					maxBytes: maxForwardedBytes,
					memory: bodyMemory,
					timeoutMs: attempt.remainingMs,
					needsPrefix: false,
				})
			: noBody;
		if (body.kind === 'refused') {
			keepalives.stop(response);
			abort(request, response, {kind: 'body-refused', reason: body.reason});
			return;
		}

		response.once('close', () => {
			if (response.writableFinished) {
				return;
			}

			if (attempt.repeatable) {
				cancelSource.abort();
			} else {
				// An attempt that is already running continues, so that its response
				// can be fetched over another connection.
				gate.cancelQueued(attempt.id);
			}
		});
		attempt.body = body.body;
		attempt.onUnanswered = () => {
			// Node.js writes no hints without a link.
			response.writeEarlyHints({
				link: '</>; rel=self',
				[reasonHeader]: 'unanswered',
			});
		};

		const result = await runReceivedAttempt(request, attempt, arrivedAt);
		keepalives.stop(response);
		bodyMemory.release(body.reservedBytes);
		if (result === 'sender-left') {
			abort(request, response, {kind: 'sender-left'});
			return;
		}

		await sendResult(response, result);
	}

	async function handleResponseFetch(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const cancelSource = createCancelSource();
		response.once('close', () => {
			cancelSource.abort();
		});
		const result = await gate.fetchAnswer(
			String(request.headers[attemptHeader]),
			readDeadline(request.headers),
			cancelSource.signal,
		);
		await sendResult(response, result);
	}

	const handleCall = createCallHandler({
		router: createPeerRouter(handlers),
		maxBytes: maxCallBytes,
		createContext: createPeerCall,
		onUnreadable(procedure, reason) {
			const problem = {
				place: procedure.slice(0, maxProcedureLength),
				reason: reason.replaceAll(/\s+/gv, ' ').slice(0, maxReasonLength),
			};
			logUnreadable([problem], 'call');
		},
	});
	const app = polka().use((request, response) => {
		options.track?.(readProcedureName(request.url), request.socket);
		handleCall(request, response).catch((error: unknown) => {
			logger.debug('call failed', {error: String(error)});
			response.destroy();
		});
	});
	const handleOtherRequest = createListener(app);

	function handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): void {
		const {url = ''} = request;
		const isFetch = url === answersPath;
		if (!isFetch && !url.startsWith(`${gatePrefix}/`)) {
			handleOtherRequest(request, response);
			return;
		}

		const handle = isFetch ? handleResponseFetch : handleAttempt;
		handle(request, response).catch((error: unknown) => {
			abort(request, response, {kind: 'failed', error});
		});
	}

	const server = await startServer(options.address, handleRequest, {
		readLag,
		readMaxWait: options.readMaxWait,
		areClientsNodes: true,
		onAccepted: options.onAccepted,
		now,
	});
	return server;
}
