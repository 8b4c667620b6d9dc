import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import polka from 'polka';
import {computeBackoff} from '../coordination/compute-backoff.js';
import {decideRetry} from '../coordination/decide-retry.js';
import {pickHost, type HostLoad} from '../coordination/pick-host.js';
import type {Attempt, AttemptResult} from '../protocol/attempt.js';
import type {Configuration} from '../protocol/configuration.js';
import {retryAfterSeconds} from '../protocol/constants.js';
import type {Candidate, MembersView} from '../protocol/member.js';
import type {RequestObserver} from '../protocol/observer.js';
import {
	depthHeader,
	outcomeHeader,
	reasonHeader,
	traceparentHeader,
	type CompiledRoute,
	type OutcomeReason,
	type RouteTable,
} from '../protocol/request.js';
import {compileRoutes} from '../state/compile-routes.js';
import {createConfiguration} from '../state/create-configuration.js';
import {matchRoute} from '../state/match-route.js';
import {copyHeaders} from './_lib/copy-headers.js';
import {readBody} from './_lib/read-body.js';
import {sendJson} from './_lib/send-json.js';
import {createListener} from './_lib/create-listener.js';
import {startServer} from './_lib/start-server.js';
import {waitMs} from './_lib/wait-ms.js';
import type {Forwarder} from './create-forwarder.js';
import type {Logger} from './create-logger.js';
import type {GateTask} from './start-gate-task.js';

/** Options of `startCallerTask`. */
export type CallerTaskOptions = {
	readonly name: string;
	readonly dataCentre: string;
	readonly address: string;
	readonly gate: GateTask;
	readonly forwarder: Forwarder;
	readonly logger: Logger;
	readonly observer?: RequestObserver;
	readonly now?: () => number;
	readonly random?: () => number;
};

/** The task that takes callers' requests. */
export type CallerTask = {
	readonly address: string;
	tellConfiguration(configuration: Configuration): void;
	tellView(view: MembersView): void;
	stop(): Promise<void>;
};

type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly route: CompiledRoute;
	readonly body: Uint8Array;
	readonly deadlineAt: number;
	readonly requestId: string;
	readonly isNested: boolean;
	attempts: number;
	readonly startedAtMs: number;
	readonly parentTraceparent: string | undefined;
	readonly traceparent: string | undefined;
};

const statusByKind = {'not-run': 503, unknown: 504} as const;

/**
 * Starts the task that takes callers' requests and answers each of them.
 *
 * @param options - see `CallerTaskOptions`
 * @returns the running task
 * @example
 * await startCallerTask({name, dataCentre, address, gate, forwarder, logger});
 */
export async function startCallerTask(
	options: CallerTaskOptions,
): Promise<CallerTask> {
	const {name, dataCentre, gate, forwarder, logger, observer = {}} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	let table: RouteTable = compileRoutes(createConfiguration());
	let view: MembersView | undefined;
	const loads = new Map<string, HostLoad>();
	const inFlightByTeam = new Map<string, number>();

	function sendOutcome(
		response: ServerResponse,
		kind: 'not-run' | 'unknown',
		reason: OutcomeReason,
		retryAfter: number,
	): void {
		sendJson(
			response,
			statusByKind[kind],
			{outcome: kind, reason},
			{
				[outcomeHeader]: kind,
				[reasonHeader]: reason,
				...(kind === 'not-run' && {'retry-after': String(retryAfter)}),
			},
		);
	}

	function createTraceparent(parent: string | undefined): string | undefined {
		return observer.createTraceparent
			? observer.createTraceparent(parent)
			: parent;
	}

	function noteLoad(
		host: string,
		change: number,
		result?: AttemptResult,
	): void {
		const known = loads.get(host) ?? {ownInFlight: 0, reportedShare: 0};
		const load = result?.load;
		loads.set(host, {
			ownInFlight: known.ownInFlight + change,
			reportedShare: load
				? (load.inFlight + load.queued) / Math.max(1, load.slots)
				: known.reportedShare,
		});
	}

	async function runAttempt(
		exchange: Exchange,
		host: Candidate,
		attempts: number,
		signal: AbortSignal,
	): Promise<AttemptResult> {
		const {request, route, body, requestId, deadlineAt} = exchange;
		const attempt: Attempt = {
			id: `${requestId}/${attempts}`,
			requestId,
			team: route.team,
			service: route.service,
			repeatable: route.repeatable,
			sheddingMeansNotRun: route.sheddingMeansNotRun,
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			headers: request.headers,
			body,
			remainingMs: deadlineAt - now(),
			signal,
			traceparent: createTraceparent(exchange.traceparent),
		};
		noteLoad(host.host, 1);
		const startedAtMs = now();
		const result = await (host.host === name
			? gate.runAttempt(attempt)
			: forwarder.forwardAttempt(host.address, attempt));
		noteLoad(host.host, -1, result);
		observer.onAttempt?.({
			requestId,
			attemptId: attempt.id,
			attempt: attempts,
			host: host.host,
			team: route.team,
			service: route.service,
			outcome: result.kind,
			reason: result.kind === 'answered' ? undefined : result.reason,
			status: result.kind === 'answered' ? result.status : 0,
			startedAtMs,
			durationMs: now() - startedAtMs,
			parentTraceparent: exchange.traceparent,
			traceparent: attempt.traceparent,
		});
		return result;
	}

	async function runAttempts(
		exchange: Exchange,
		signal: AbortSignal,
	): Promise<AttemptResult> {
		const {route, deadlineAt, isNested} = exchange;
		const tried = new Set<string>();
		for (let attempts = 1; ; attempts++) {
			const candidates = view?.candidates.get(route.service) ?? [];
			const host =
				pickHost(candidates, loads, random, {dataCentre, exclude: tried}) ??
				pickHost(candidates, loads, random, {dataCentre});
			if (!host) {
				const reason = 'pending';
				return {kind: 'not-run', reason, retryAfterSeconds, load: undefined};
			}

			tried.add(host.host);
			exchange.attempts = attempts;
			const result = await runAttempt(exchange, host, attempts, signal);
			if (result.kind === 'answered') {
				return result;
			}

			const shouldRetry = decideRetry({
				outcome: result.kind,
				repeatable: route.repeatable,
				attempts,
				maxAttempts: route.maxAttempts,
				remainingMs: deadlineAt - now(),
				budget: 1,
				isNested,
			});
			if (!shouldRetry || signal.aborted) {
				return result;
			}

			if (tried.size >= candidates.length) {
				await waitMs(computeBackoff(attempts, random()), signal);
			}
		}
	}

	async function answerExchange(exchange: Exchange): Promise<void> {
		const {response} = exchange;
		const cancelling = new AbortController();
		response.once('close', () => {
			cancelling.abort();
		});
		const result = await runAttempts(exchange, cancelling.signal);
		observer.onRequest?.({
			requestId: exchange.requestId,
			route: exchange.route.name,
			method: exchange.request.method ?? 'GET',
			attempts: exchange.attempts,
			team: exchange.route.team,
			service: exchange.route.service,
			outcome: result.kind,
			reason: result.kind === 'answered' ? undefined : result.reason,
			status: result.kind === 'answered' ? result.status : 0,
			startedAtMs: exchange.startedAtMs,
			durationMs: now() - exchange.startedAtMs,
			parentTraceparent: exchange.parentTraceparent,
			traceparent: exchange.traceparent,
		});
		if (result.kind !== 'answered') {
			const {kind, reason, retryAfterSeconds: retryAfter} = result;
			sendOutcome(response, kind, reason, retryAfter);
			return;
		}

		response.writeHead(result.status, {
			...copyHeaders(result.headers),
			[outcomeHeader]: 'answered',
		});
		await pipeline(result.body, response);
	}

	async function handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const startedAt = now();
		const path = (request.url ?? '/').split('?', 1)[0]!;
		const route = matchRoute(table, request.method ?? 'GET', path);
		if (!route) {
			sendOutcome(response, 'not-run', 'no-route', retryAfterSeconds);
			return;
		}

		const inFlight = inFlightByTeam.get(route.team) ?? 0;
		if (inFlight >= route.concurrency) {
			sendOutcome(response, 'not-run', 'team-limit', retryAfterSeconds);
			return;
		}

		inFlightByTeam.set(route.team, inFlight + 1);
		try {
			const body = await readBody(request, route.maxBodyBytes);
			if (body.isErr()) {
				sendOutcome(response, 'not-run', 'body-too-large', retryAfterSeconds);
				return;
			}

			const parentTraceparent = request.headers[traceparentHeader]?.toString();
			await answerExchange({
				request,
				response,
				route,
				body: body.value,
				deadlineAt: startedAt + route.deadlineMs,
				requestId: randomUUID(),
				isNested: request.headers[depthHeader] !== undefined,
				attempts: 0,
				startedAtMs: startedAt,
				parentTraceparent,
				traceparent: createTraceparent(parentTraceparent),
			});
		} finally {
			inFlightByTeam.set(route.team, inFlightByTeam.get(route.team)! - 1);
		}
	}

	const app = polka().use((request, response) => {
		handleRequest(request, response).catch((error: unknown) => {
			logger.warn('request failed', {error: String(error)});
			response.destroy();
		});
	});
	const server = await startServer(options.address, createListener(app));

	return {
		address: server.address,
		tellConfiguration(configuration) {
			table = compileRoutes(configuration);
		},
		tellView(next) {
			view = next;
		},
		stop: server.stop,
	};
}
