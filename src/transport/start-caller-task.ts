import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {computeRequestAge} from '../coordination/compute-request-age.js';
import {computeRetryAfter} from '../coordination/compute-retry-after.js';
import {computeUnreadTime} from '../coordination/compute-unread-time.js';
import {decideCallerAdmission} from '../coordination/decide-caller-admission.js';
import {decideDrainAdmission} from '../coordination/decide-drain-admission.js';
import {decideEventLoopAdmission} from '../coordination/decide-event-loop-admission.js';
import {pickTarget} from '../coordination/pick-target.js';
import type {RetryBudgetOptions} from '../coordination/step-retry-budget.js';
import {
	stepUsualDeadline,
	type UsualDeadline,
} from '../coordination/step-usual-deadline.js';
import type {CancelSignal} from '../protocol/cancel-signal.js';
import type {Configuration} from '../protocol/configuration.js';
import {
	responseMarginMs,
	responseMarginRatio,
	busyRetryMs,
	maxDepth,
	bodyMemoryBudgetBytes,
	msPerSecond,
	retryAfterSeconds,
} from '../protocol/constants.js';
import type {CallerParameters, Edge} from '../protocol/edge.js';
import type {MembersView} from '../protocol/member.js';
import type {RequestObserver} from '../protocol/observer.js';
import {
	outcomeHeader,
	traceparentHeader,
	type CompiledRoute,
	type OutcomeReason,
	type RouteTable,
} from '../protocol/request.js';
import type {RoutingDocument} from '../protocol/routing-document.js';
import {compileDocument} from '../state/compile-document.js';
import {compileRoutes} from '../state/compile-routes.js';
import {isSameKeySet} from '../state/is-same-key-set.js';
import {matchRoute} from '../state/match-route.js';
import {abortResponse} from './_lib/abort-response.js';
import type {AcceptedBatch} from './_lib/create-accept-queue.js';
import {
	createBodyMemoryBudget,
	type BodyMemoryBudget,
} from './_lib/create-body-memory-budget.js';
import {createCancelSource} from './_lib/create-cancel-source.js';
import {createListener} from './_lib/create-listener.js';
import {createServiceRouter} from './_lib/create-service-router.js';
import {isUnambiguousPath} from './_lib/is-unambiguous-path.js';
import {readRequestBody} from './_lib/read-request-body.js';
import {reportAttemptEvent} from './_lib/report-attempt-event.js';
import {reportRequestEvent} from './_lib/report-request-event.js';
import {runRequest, type RequestEnd} from './_lib/run-request.js';
import {sendUpstreamResponse} from './_lib/send-upstream-response.js';
import {sendOutcome} from './_lib/send-outcome.js';
import {discardBody} from './_lib/discard-body.js';
import {hasClientDisconnected} from './_lib/has-client-disconnected.js';
import {startServer} from './_lib/start-server.js';
import type {Forwarder} from './create-forwarder.js';
import type {Logger} from './create-logger.js';
import {defaultEdge} from './default-edge.js';
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
	/** Headers that the callers understand; the project's own when absent. */
	readonly edge?: Edge;
	/** Where long bodies wait; a memory of its own when absent. */
	readonly bodyMemory?: BodyMemoryBudget;
	/** Rate of the own host's link, Mbit/s; usual when absent. */
	readonly linkMbps?: number | undefined;
	/** How late the event loop runs, ms; not regarded when absent. */
	readonly readLag?: () => number;
	/** Called when connections have been accepted and none waits any more. */
	readonly onAccepted?: (batch: AcceptedBatch) => void;
	/** Service on the own host, for which its requests are sent. */
	readonly readOrigin?: () => string | undefined;
	/** Bounds of the retries of this node, given the number of all nodes. */
	readonly computeRetryBudget?: (members: number) => RetryBudgetOptions;
	/** Monotonic ms; `performance.now` when absent. */
	readonly now?: () => number;
	/** Numbers from 0 up to 1; `Math.random` when absent. */
	readonly random?: () => number;
};

/** Where the routes of requests come from. */
export type RouteSource =
	/** Manifests of teams, accepted by this system. */
	| {readonly kind: 'manifests'; readonly configuration: Configuration}
	/** A whole document, accepted by the platform. */
	| {readonly kind: 'document'; readonly document: RoutingDocument};

/** Times in the stop of a node, monotonic ms. */
export type DrainBounds = {
	/** Until when every request is taken. */
	readonly servesUntil: number;
	/** When the node ends. */
	readonly endsAt: number;
};

/** The task that takes callers' requests. */
export type CallerTask = {
	readonly address: string;
	updateRoutes(source: RouteSource): void;
	updateMembers(view: MembersView): void;
	/** Requests in flight. */
	readInFlight(): number;
	/** Time since a request last began or was in flight, ms. */
	readIdleMs(): number;
	/** Refuses every further request. */
	refuseAll(): void;
	/**
	 * Lets callers know that connections are to be closed, and bounds the
	 * requests that still come by the end of the node.
	 *
	 * @param bounds - when absent, only their own deadlines hold
	 */
	drain(bounds?: DrainBounds): void;
	stop(): Promise<void>;
};

/** A request that has a route. */
type RoutedRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly route: CompiledRoute;
	readonly terms: CallerParameters;
	/** The caller's identifier, or a new one. */
	readonly requestId: string;
	/** When it came in, monotonic ms; before it was read when the node is late. */
	readonly startedAt: number;
	/** How late the node was with it, ms. */
	readonly lagMs: number;
	readonly parentTraceparent: string | undefined;
	readonly traceparent: string | undefined;
};

const neverEnding: DrainBounds = {
	servesUntil: Number.POSITIVE_INFINITY,
	endsAt: Number.POSITIVE_INFINITY,
};

const answeredHeaders = {[outcomeHeader]: 'answered'};

/** Computes the time for an answer that still reaches the client in time. */
function computeDeadlineMs(
	terms: CallerParameters,
	route: CompiledRoute,
): number {
	const {deadlineMs = Number.POSITIVE_INFINITY} = terms;
	const wayBackMs = Math.min(
		responseMarginMs,
		deadlineMs * responseMarginRatio,
	);
	return Math.min(route.deadlineMs, deadlineMs - wayBackMs);
}

function formatKey(
	{idempotencyKey}: CallerParameters,
	route: CompiledRoute,
): string | undefined {
	return idempotencyKey !== undefined && !route.repeatable
		? `${route.team}/${route.service}/${encodeURIComponent(idempotencyKey)}`
		: undefined;
}

/** Names requests that hosts admit alike: those of a route, fresh or aged. */
function formatDemand(
	{name, objectiveMs = 0}: CompiledRoute,
	leftMs: number,
): string {
	return leftMs < objectiveMs / 2 ? `${name} aged` : name;
}

/** Reads the stated length of a request's body, bytes; 0 when it is not stated. */
function readBodyBytes({headers}: IncomingMessage): number {
	return Number(headers['content-length'] ?? 0);
}

function compileSource(
	source: RouteSource,
	candidates: MembersView['candidates'],
): RouteTable {
	switch (source.kind) {
		case 'manifests': {
			return compileRoutes(source.configuration, candidates);
		}

		case 'document': {
			return compileDocument(source.document);
		}
	}
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
	const {logger, observer = {}, edge = defaultEdge} = options;
	const {readLag = () => 0} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	const router = createServiceRouter({...options, now, random});
	const inFlightByTeam = new Map<string, number>();
	const usualDeadlines = new Map<string, UsualDeadline>();
	const targetNumbers = new Map<string, number>();
	const {bodyMemory = createBodyMemoryBudget(bodyMemoryBudgetBytes)} = options;
	const idPrefix = randomUUID();
	let lastId = 0;
	let source: RouteSource | undefined;
	let candidates: MembersView['candidates'] = new Map();
	let table: RouteTable | undefined;
	let inFlight = 0;
	let isRefusing = false;
	let drainBounds: DrainBounds = neverEnding;
	let lastActiveAt = now();

	function refuse(
		response: ServerResponse,
		reason: OutcomeReason,
		delayMs = retryAfterSeconds * msPerSecond,
	): void {
		const seconds = (delayMs * (0.5 + random())) / msPerSecond;
		sendOutcome(
			response,
			{outcome: 'not-run', reason, retryAfterSeconds: seconds},
			edge,
		);
	}

	/** Computes when to come again to a node that has no processor time left. */
	function computeOverloadDelayMs({
		deadlineMs = retryAfterSeconds * msPerSecond,
	}: CallerParameters): number {
		const seconds = computeRetryAfter({
			waitMs: busyRetryMs,
			serviceMs: 0,
			objectiveMs: 0,
			remainingMs: deadlineMs,
			random: 0.5,
		});
		return seconds * msPerSecond;
	}

	/** Computes the time left in which an answer has its full value. */
	function computeObjectiveMs(
		{deadlineMs}: CallerParameters,
		{name, objectiveMs}: CompiledRoute,
	): number {
		if (objectiveMs === undefined || deadlineMs === undefined) {
			return objectiveMs ?? Number.POSITIVE_INFINITY;
		}

		const usual = stepUsualDeadline(usualDeadlines.get(name), deadlineMs);
		usualDeadlines.set(name, usual);
		return Math.max(0, objectiveMs - computeRequestAge(usual, deadlineMs));
	}

	/** Chooses the service of a request where several share the route. */
	function chooseService(route: CompiledRoute): CompiledRoute {
		if (!route.targets) {
			return route;
		}

		const number = targetNumbers.get(route.name) ?? Math.floor(random() * 1000);
		targetNumbers.set(route.name, number + 1);
		return {...route, service: pickTarget(route.targets, number)};
	}

	function createTraceparent(parent: string | undefined): string | undefined {
		return observer.createTraceparent
			? observer.createTraceparent(parent)
			: parent;
	}

	function countInFlight(team: string, change: 1 | -1): void {
		const count = (inFlightByTeam.get(team) ?? 0) + change;
		inFlight += change;
		lastActiveAt = now();
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
		signal: CancelSignal,
	): Promise<RequestEnd> {
		const {request, route, requestId, terms} = routed;
		const {team, service, sheddingMeansNotRun} = route;
		const deadlineMs = Math.min(
			computeDeadlineMs(terms, route),
			Math.max(0, drainBounds.endsAt - responseMarginMs - routed.startedAt),
		);
		const read = await readRequestBody(request, {
			maxBytes: route.maxBodyBytes,
			memory: bodyMemory,
			timeoutMs: Math.max(0, routed.startedAt + deadlineMs - now()),
		});
		if (read.kind === 'refused') {
			const {reason} = read;
			return {outcome: 'not-run', reason, retryAfterSeconds, attempts: 0};
		}

		const {body, reservedBytes} = read;
		const isStreamed = !(body instanceof Uint8Array);
		const repeatable = route.repeatable && !isStreamed;
		const key = formatKey(terms, route);
		const {depth} = terms;
		const objectiveMs = computeObjectiveMs(terms, route);
		const admissionClass = formatDemand(route, objectiveMs);
		const selection = router.select(service, key, {
			objectiveMs: route.objectiveMs,
			route: route.name,
			admissionClass,
			bodyBytes: readBodyBytes(request),
		});
		if (isStreamed) {
			await selection.refreshStamp();
		}

		lastId++;
		const end = await runRequest({
			parameters: {
				repeatable,
				isNested: depth > 0,
				maxAttempts: isStreamed ? 1 : route.maxAttempts,
				deadlineAt: routed.startedAt + deadlineMs,
				objectiveAt: routed.startedAt + Math.min(deadlineMs, objectiveMs),
			},
			template: {
				idPrefix: `${idPrefix}.${lastId}`,
				requestId,
				team,
				service,
				route: route.name,
				repeatable,
				sheddingMeansNotRun,
				method: request.method ?? 'GET',
				path: request.url ?? '/',
				headers: request.headers,
				body,
				depth,
				origin: options.readOrigin?.(),
				priority: route.priority,
				routeObjectiveMs: route.objectiveMs,
				key,
			},
			signal,
			pickGate: selection.pickGate,
			hasAvailableHost: selection.hasAvailableHost,
			readRateLimitWait: selection.readRateLimitWait,
			createTraceparent: () => createTraceparent(routed.traceparent),
			onAttemptEnd(end) {
				router.recordAttempt(end, now(), admissionClass);
				reportAttemptEvent(observer, end, routed.traceparent, now());
			},
			readRetryBudget: () => router.readRetryBudget(team, service),
			spendRetryBudget() {
				router.spendRetryBudget(team, service);
			},
			now,
			random,
		});
		bodyMemory.release(reservedBytes);
		if (isStreamed && end.outcome !== 'answered') {
			discardBody(body);
		}

		return end;
	}

	async function answerRouted(routed: RoutedRequest): Promise<void> {
		const {request, response, lagMs} = routed;
		const cancelling = createCancelSource();
		response.once('close', () => {
			if (!response.writableFinished) {
				cancelling.abort();
			}
		});
		if (await hasClientDisconnected(request, lagMs)) {
			const {requestId} = routed;
			abortResponse(response, {
				cause: {kind: 'sender-left'},
				requestId,
				logger,
			});
			return;
		}

		router.recordRequest(routed.route.team, routed.route.service);
		const end = await runRouted(routed, cancelling.signal);
		try {
			if (end.outcome === 'answered') {
				await sendUpstreamResponse(response, end.answer, answeredHeaders);
			} else {
				sendOutcome(response, end, edge);
			}
		} finally {
			reportRequestEvent(observer, routed, end, now());
		}
	}

	/** Reads how late the node is with a request, ms. */
	function readLateness(request: IncomingMessage): number {
		return Math.max(readLag(), server.readAcceptWaitMs(request));
	}

	function findRoute(
		request: IncomingMessage,
		{depth}: CallerParameters,
	): CompiledRoute | OutcomeReason {
		const {url = '/', method = 'GET'} = request;
		const [path = '/'] = url.split('?', 1);
		const isRefused = edge.refusesAmbiguousPaths && !isUnambiguousPath(path);
		if (isRefused || depth > maxDepth) {
			return 'bad-request';
		}

		const {upgrade} = request.headers;
		if (upgrade !== undefined && upgrade !== 'h2c') {
			return 'upgrade';
		}

		if (!table) {
			return 'no-configuration';
		}

		const {host = ''} = request.headers;
		const route = matchRoute(table, {method, host, path});
		if (route === 'unreadable') {
			return 'unreadable-route';
		}

		return route?.isLive === false ? 'pending' : (route ?? 'no-route');
	}

	async function handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const readAt = now();
		if (isRefusing) {
			refuse(response, 'leaving', busyRetryMs);
			return;
		}

		const terms = edge.readCallerParameters(request.headers);
		const found = findRoute(request, terms);
		if (typeof found === 'string') {
			refuse(response, found);
			return;
		}

		const route = chooseService(found);
		const deadlineMs = computeDeadlineMs(terms, route);
		if (!decideDrainAdmission({now: readAt, deadlineMs, ...drainBounds})) {
			refuse(response, 'leaving', busyRetryMs);
			return;
		}

		const {priority = 0} = route;
		const lagMs = readLateness(request);
		if (!decideEventLoopAdmission({lagMs, priority})) {
			refuse(response, 'overloaded', computeOverloadDelayMs(terms));
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
				terms,
				requestId: terms.requestId ?? randomUUID(),
				startedAt: readAt - computeUnreadTime(lagMs),
				lagMs,
				parentTraceparent,
				traceparent: createTraceparent(parentTraceparent),
			});
		} finally {
			countInFlight(route.team, -1);
		}
	}

	const app = polka().use((request, response) => {
		handleRequest(request, response).catch((error: unknown) => {
			abortResponse(response, {
				cause: {kind: 'failed', error},
				requestId: edge.readCallerParameters(request.headers).requestId,
				logger,
			});
		});
	});
	const server = await startServer(options.address, createListener(app), {
		readLag,
		onAccepted: options.onAccepted,
	});

	return {
		address: server.address,
		updateRoutes(next) {
			source = next;
			table = compileSource(source, candidates);
		},
		updateMembers(view) {
			router.updateMembers(view);
			const isSame = isSameKeySet(candidates, view.candidates);
			candidates = view.candidates;
			if (!isSame && source?.kind === 'manifests') {
				table = compileSource(source, candidates);
			}
		},
		refuseAll() {
			isRefusing = true;
		},
		readInFlight: () => inFlight,
		readIdleMs: () => (inFlight > 0 ? 0 : now() - lastActiveAt),
		drain(bounds = neverEnding) {
			drainBounds = bounds;
			server.drain();
		},
		stop: server.stop,
	};
}
