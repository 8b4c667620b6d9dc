import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {decideCallerAdmission} from '../coordination/decide-caller-admission.js';
import type {Configuration} from '../protocol/configuration.js';
import {maxDepth, retryAfterSeconds} from '../protocol/constants.js';
import type {MembersView} from '../protocol/member.js';
import type {RequestObserver} from '../protocol/observer.js';
import {
	deadlineHeader,
	depthHeader,
	idempotencyKeyHeader,
	outcomeHeader,
	traceparentHeader,
	type CompiledRoute,
	type OutcomeReason,
} from '../protocol/request.js';
import {compileRoutes} from '../state/compile-routes.js';
import {createConfiguration} from '../state/create-configuration.js';
import {isSameKeySet} from '../state/is-same-key-set.js';
import {matchRoute} from '../state/match-route.js';
import {createListener} from './_lib/create-listener.js';
import {createServiceRouter} from './_lib/create-service-router.js';
import {isUnambiguousPath} from './_lib/is-unambiguous-path.js';
import {readRequestBody} from './_lib/read-request-body.js';
import {reportAttemptEvent} from './_lib/report-attempt-event.js';
import {reportRequestEvent} from './_lib/report-request-event.js';
import {runRequest, type RequestEnd} from './_lib/run-request.js';
import {sendAnswer} from './_lib/send-answer.js';
import {sendOutcome} from './_lib/send-outcome.js';
import {startServer} from './_lib/start-server.js';
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
	/** Monotonic ms; `performance.now` when absent. */
	readonly now?: () => number;
	/** Numbers from 0 up to 1; `Math.random` when absent. */
	readonly random?: () => number;
};

/** The task that takes callers' requests. */
export type CallerTask = {
	readonly address: string;
	tellConfiguration(configuration: Configuration): void;
	tellView(view: MembersView): void;
	/** Lets callers know that connections are to be closed. */
	drain(): void;
	stop(): Promise<void>;
};

/** A request that has a route. */
type RoutedRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly route: CompiledRoute;
	readonly requestId: string;
	/** Monotonic ms. */
	readonly startedAt: number;
	readonly parentTraceparent: string | undefined;
	readonly traceparent: string | undefined;
};

const answeredHeaders = {[outcomeHeader]: 'answered'};

function refuse(response: ServerResponse, reason: OutcomeReason): void {
	sendOutcome(response, {outcome: 'not-run', reason, retryAfterSeconds});
}

function readDepth(request: IncomingMessage): number {
	const depth = Number(request.headers[depthHeader] ?? 0);
	return Number.isInteger(depth) && depth >= 0 ? depth : 0;
}

function readDeadline(request: IncomingMessage, route: CompiledRoute): number {
	const wanted = Number(request.headers[deadlineHeader] ?? route.deadlineMs);
	return wanted >= 0 ? Math.min(route.deadlineMs, wanted) : route.deadlineMs;
}

function readKey(
	request: IncomingMessage,
	route: CompiledRoute,
): string | undefined {
	const key = request.headers[idempotencyKeyHeader];
	return typeof key === 'string' && !route.repeatable
		? `${route.team}/${route.service}/${encodeURIComponent(key)}`
		: undefined;
}

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
	const {logger, observer = {}} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	const router = createServiceRouter({...options, now, random});
	const inFlightByTeam = new Map<string, number>();
	let configuration = createConfiguration();
	let candidates: MembersView['candidates'] = new Map();
	let table = compileRoutes(configuration, candidates);
	let inFlight = 0;

	function createTraceparent(parent: string | undefined): string | undefined {
		return observer.createTraceparent
			? observer.createTraceparent(parent)
			: parent;
	}

	function countInFlight(team: string, change: 1 | -1): void {
		const count = (inFlightByTeam.get(team) ?? 0) + change;
		inFlight += change;
		if (count === 0) {
			inFlightByTeam.delete(team);
		} else {
			inFlightByTeam.set(team, count);
		}
	}

	function canTake({team, concurrency}: CompiledRoute): boolean {
		const teamInFlight = inFlightByTeam.get(team) ?? 0;
		return decideCallerAdmission({
			inFlight,
			teamInFlight,
			activeTeams: inFlightByTeam.size + (teamInFlight === 0 ? 1 : 0),
			concurrency,
		});
	}

	async function runRouted(
		routed: RoutedRequest,
		signal: AbortSignal,
	): Promise<RequestEnd> {
		const {request, route, requestId} = routed;
		const {team, service, sheddingMeansNotRun} = route;
		const read = await readRequestBody(request, {maxBytes: route.maxBodyBytes});
		if (read.kind === 'refused') {
			const {reason} = read;
			return {outcome: 'not-run', reason, retryAfterSeconds, attempts: 0};
		}

		const {body} = read;
		const isStreamed = !(body instanceof Uint8Array);
		const repeatable = route.repeatable && !isStreamed;
		const key = readKey(request, route);
		const depth = readDepth(request);
		const selection = router.select(service, key);
		if (isStreamed) {
			await selection.refreshStamp();
		}

		return runRequest({
			terms: {
				repeatable,
				isNested: depth > 0,
				maxAttempts: isStreamed ? 1 : route.maxAttempts,
				deadlineAt: routed.startedAt + readDeadline(request, route),
			},
			template: {
				requestId,
				team,
				service,
				repeatable,
				sheddingMeansNotRun,
				method: request.method ?? 'GET',
				path: request.url ?? '/',
				headers: request.headers,
				body,
				depth,
				key,
			},
			signal,
			pickGate: selection.pickGate,
			createTraceparent: () => createTraceparent(routed.traceparent),
			onAttemptEnd(end) {
				router.noteAttempt(end, now());
				reportAttemptEvent(observer, end, routed.traceparent, now());
			},
			readBudget: () => router.readBudget(team, service),
			spendBudget() {
				router.spendBudget(team, service);
			},
			now,
			random,
		});
	}

	async function answerRouted(routed: RoutedRequest): Promise<void> {
		const {response} = routed;
		const cancelling = new AbortController();
		response.once('close', () => {
			if (!response.writableFinished) {
				cancelling.abort();
			}
		});
		router.countRequest(routed.route.team, routed.route.service);
		const end = await runRouted(routed, cancelling.signal);
		try {
			if (end.outcome === 'answered') {
				await sendAnswer(response, end.answer, answeredHeaders);
			} else {
				sendOutcome(response, end);
			}
		} finally {
			reportRequestEvent(observer, routed, end, now());
		}
	}

	function findRoute(
		request: IncomingMessage,
	): CompiledRoute | 'bad-request' | 'no-route' | 'upgrade' | 'pending' {
		const {url = '/', method = 'GET'} = request;
		const [path = '/'] = url.split('?', 1);
		if (!isUnambiguousPath(path) || readDepth(request) > maxDepth) {
			return 'bad-request';
		}

		const {upgrade} = request.headers;
		if (upgrade !== undefined && upgrade !== 'h2c') {
			return 'upgrade';
		}

		const route = matchRoute(table, method, path);
		return route?.isLive === false ? 'pending' : (route ?? 'no-route');
	}

	async function handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const startedAt = now();
		const route = findRoute(request);
		if (typeof route === 'string') {
			refuse(response, route);
			return;
		}

		if (!canTake(route)) {
			refuse(response, 'team-limit');
			return;
		}

		const parentTraceparent = request.headers[traceparentHeader]?.toString();
		countInFlight(route.team, 1);
		try {
			await answerRouted({
				request,
				response,
				route,
				requestId: randomUUID(),
				startedAt,
				parentTraceparent,
				traceparent: createTraceparent(parentTraceparent),
			});
		} finally {
			countInFlight(route.team, -1);
		}
	}

	const app = polka().use((request, response) => {
		handleRequest(request, response).catch((error: unknown) => {
			logger.debug('answer not sent whole', {error: String(error)});
			response.destroy();
		});
	});
	const server = await startServer(options.address, createListener(app));

	return {
		address: server.address,
		tellConfiguration(next) {
			configuration = next;
			table = compileRoutes(configuration, candidates);
		},
		tellView(view) {
			router.tellView(view);
			const isSame = isSameKeySet(candidates, view.candidates);
			candidates = view.candidates;
			if (!isSame) {
				table = compileRoutes(configuration, candidates);
			}
		},
		drain: server.drain,
		stop: server.stop,
	};
}
