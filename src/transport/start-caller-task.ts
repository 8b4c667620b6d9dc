import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {computeRequestFingerprint} from '../coordination/compute-request-fingerprint.js';
import {noSuspicion, type Suspicion} from '../coordination/quarantine-state.js';
import {computeRetryAfter} from '../coordination/compute-retry-after.js';
import {computeUnreadTime} from '../coordination/compute-unread-time.js';
import {decideDrainAdmission} from '../coordination/decide-drain-admission.js';
import {decideEventLoopAdmission} from '../coordination/decide-event-loop-admission.js';
import type {RequestParameters} from '../coordination/request-state.js';
import {pickTarget} from '../coordination/pick-target.js';
import type {RetryBudgetOptions} from '../coordination/step-retry-budget.js';
import type {CancelSignal} from '../protocol/cancel-signal.js';
import type {Configuration} from '../protocol/configuration.js';
import {
	responseMarginMs,
	responseMarginRatio,
	busyRetryMs,
	confirmationRetryMs,
	minTransferCostBodyBytes,
	bodyMemoryBudgetBytes,
	msPerSecond,
	retryAfterSeconds,
} from '../protocol/constants.js';
import type {CallerParameters, Edge} from '../protocol/edge.js';
import type {MembersView} from '../protocol/member.js';
import type {RefusalEvent, RequestObserver} from '../protocol/observer.js';
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
import {abortResponse} from './_lib/abort-response.js';
import type {AcceptedBatch} from './_lib/create-accept-queue.js';
import {
	createBodyMemoryBudget,
	type BodyMemoryBudget,
} from './_lib/create-body-memory-budget.js';
import {computeRefusalDelay} from './_lib/compute-refusal-delay.js';
import {
	createAccessCheck,
	type AccessCheckOptions,
} from './_lib/create-access-check.js';
import {createCancelSource} from './_lib/create-cancel-source.js';
import {createInFlightCounter} from './_lib/create-in-flight-counter.js';
import {createListener} from './_lib/create-listener.js';
import {createServiceRouter} from './_lib/create-service-router.js';
import {createUsualDeadlines} from './_lib/create-usual-deadlines.js';
import {findRoute} from './_lib/find-route.js';
import {formatAdmissionClass} from './_lib/format-admission-class.js';
import {
	readFingerprint,
	type FingerprintedRequest,
} from './_lib/read-fingerprint.js';
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
import type {QuotaTask} from './start-quota-task.js';
import type {RequestQuarantine} from './start-quarantine-task.js';
import type {VersionPicker} from './version-picker.js';

/** Options of `startCallerTask`. */
export type CallerTaskOptions = AccessCheckOptions & {
	readonly name: string;
	readonly dataCentre: string;
	readonly address: string;
	readonly gate: GateTask;
	readonly forwarder: Forwarder;
	readonly logger: Logger;
	readonly observer?: RequestObserver;
	/** Headers that callers use; default `defaultEdge`. */
	readonly edge?: Edge;
	/** Memory budget for buffered bodies; by default a separate one of `bodyMemoryBudgetBytes`. */
	readonly bodyMemory?: BodyMemoryBudget;
	/** Bandwidth of the local host's link, Mbit/s; when absent, that of the reference host. */
	readonly linkMbps?: number | undefined;
	/** Returns the event loop lag, ms; default 0. */
	readonly readLag?: () => number;
	/** Returns the longest time for which data that is being read may have waited in a socket, ms; `readLag` when absent. */
	readonly readMaxWait?: () => number;
	/** Called with each batch of accepted connections, once none is left in the queue. */
	readonly onAccepted?: (batch: AcceptedBatch) => void;
	/** Tells which requests crash their upstreams; without it, none is refused for that. */
	readonly quarantine?: Pick<RequestQuarantine, 'hasRecords' | 'readSuspicion'>;
	/** Holds the requests of tenants to their quotas; without it, none is refused for that. */
	readonly quota?: Pick<QuotaTask, 'take' | 'giveBack'>;
	/** Returns the service on the local host, on whose behalf callers send requests. */
	readonly readOrigin?: () => string | undefined;
	/** Picks the software versions of requests; without it, every upstream may get them. */
	readonly rollouts?: VersionPicker | undefined;
	/** Computes the retry budget of this node from the number of all nodes. */
	readonly computeRetryBudget?: (members: number) => RetryBudgetOptions;
	/** Monotonic time, ms; default `performance.now`. */
	readonly now?: () => number;
	/** Returns a number from 0 up to, but not including, 1; default `Math.random`. */
	readonly random?: () => number;
};

/** Source of the routes of requests. */
export type RouteSource =
	/** Manifests of teams, which the mesh itself has accepted. */
	| {readonly kind: 'manifests'; readonly configuration: Configuration}
	/** A complete routing document, which the platform has accepted. */
	| {readonly kind: 'document'; readonly document: RoutingDocument};

/** Times of the phases of a shutdown, monotonic ms. */
export type DrainBounds = {
	/** Time until which every request is accepted. */
	readonly servesUntil: number;
	/** Time at which the node ends. */
	readonly endsAt: number;
};

/** Task that serves the requests of callers. */
export type CallerTask = {
	readonly address: string;
	/** Replaces the routes. */
	updateRoutes(source: RouteSource): void;
	/** Replaces the membership view. */
	updateMembers(view: MembersView): void;
	/** Returns the number of requests in flight. */
	readInFlight(): number;
	/** Returns the number of responses that are owed to callers, also those that are being written. */
	countOwed(): number;
	/** Returns the time since the last request started or ended, ms; 0 while a response is owed. */
	readIdleMs(): number;
	/** Refuses all further requests. */
	refuseAll(): void;
	/**
	 * Tells callers that their connections will be closed, and limits the
	 * deadlines of further requests to the end of the node.
	 *
	 * @param bounds - when absent, only the requests' own deadlines apply
	 */
	drain(bounds?: DrainBounds): void;
	stop(): Promise<void>;
};

/** Request with its matched route. */
type RoutedRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly route: CompiledRoute;
	readonly parameters: CallerParameters;
	/** Identifier that the caller chose, or else a new UUID. */
	readonly requestId: string;
	/** When the node read the request, monotonic ms. */
	readonly readAt: number;
	/** Estimated time of arrival, monotonic ms; earlier than the time of reading when the event loop lags. */
	readonly startedAt: number;
	/** Earliest possible time of arrival, monotonic ms, from which the deadline counts. */
	readonly earliestAt: number;
	/** Lag with which the node read the request, ms. */
	readonly lagMs: number;
	/** Whether its client had sent it before. */
	readonly isReturned: boolean;
	readonly parentTraceparent: string | undefined;
	readonly traceparent: string | undefined;
};

const unboundedDrain: DrainBounds = {
	servesUntil: Number.POSITIVE_INFINITY,
	endsAt: Number.POSITIVE_INFINITY,
};

/** Route of a refused request, and whether its client had sent it before. */
type RefusedArrival = Pick<RefusalEvent, 'route' | 'isReturned' | 'tenant'>;

const unroutedArrival: RefusedArrival = {
	route: undefined,
	isReturned: undefined,
};

/** Age of a request up to which its token is given back, ms. */
const maxTokenAgeMs = 500;

const answeredHeaders = {[outcomeHeader]: 'answered'};

/** Computes the time for which a request may be kept waiting: until the client's deadline or the time-out of the route, ms. */
function computeDeadlineMs(
	{deadlineMs = Number.POSITIVE_INFINITY}: CallerParameters,
	route: CompiledRoute,
): number {
	return Math.min(route.deadlineMs, deadlineMs);
}

/** Computes the time in which an upstream must respond for the response to reach the client before its deadline, ms. */
function computeRunDeadlineMs(
	{deadlineMs = Number.POSITIVE_INFINITY}: CallerParameters,
	route: CompiledRoute,
): number {
	const marginMs = Math.min(responseMarginMs, deadlineMs * responseMarginRatio);
	return Math.min(route.deadlineMs, deadlineMs - marginMs);
}

function formatIdempotencyKey(
	{idempotencyKey}: CallerParameters,
	route: CompiledRoute,
): string | undefined {
	return idempotencyKey !== undefined && !route.repeatable
		? `${route.team}/${route.service}/${encodeURIComponent(idempotencyKey)}`
		: undefined;
}

/** Reads the `content-length` of a request, bytes; undefined when absent. */
function readBodyBytes({headers}: IncomingMessage): number | undefined {
	const {'content-length': length} = headers;
	return length === undefined ? undefined : Number(length);
}

function compileRouteSource(
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
 * Starts the task that accepts the requests of callers and responds to each.
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
	const {readLag = () => 0, quarantine, quota} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	const router = createServiceRouter({...options, now, random});
	const checkAccess = createAccessCheck(edge, options);
	const inFlight = createInFlightCounter(now);
	const usualDeadlines = createUsualDeadlines();
	const targetNumbers = new Map<string, number>();
	const {bodyMemory = createBodyMemoryBudget(bodyMemoryBudgetBytes)} = options;
	const idPrefix = randomUUID();
	let lastId = 0;
	let source: RouteSource | undefined;
	let candidates: MembersView['candidates'] = new Map();
	let table: RouteTable | undefined;
	let isRefusing = false;
	let drainBounds: DrainBounds = unboundedDrain;

	function refuse(
		response: ServerResponse,
		reason: OutcomeReason,
		delayMs = retryAfterSeconds * msPerSecond,
		arrival = unroutedArrival,
	): void {
		observer.onRefusal?.({
			place: 'caller',
			reason,
			...arrival,
			hasFreeSlot: undefined,
		});
		const seconds = (delayMs * (0.5 + random())) / msPerSecond;
		sendOutcome(
			response,
			{outcome: 'not-run', reason, retryAfterSeconds: seconds},
			edge,
		);
	}

	/** Computes the retry delay for a caller of a node that has no processor time left, ms. */
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

	/** Picks the service of a request whose route has several weighted targets. */
	function chooseService(route: CompiledRoute): CompiledRoute {
		if (!route.targets) {
			return route;
		}

		const number = targetNumbers.get(route.name) ?? Math.floor(random() * 1000);
		targetNumbers.set(route.name, number + 1);
		return {...route, service: pickTarget(route.targets, number)};
	}

	/** Tells whether a request is known to crash its upstreams. */
	function readSuspicion(request: FingerprintedRequest): Suspicion {
		return quarantine?.hasRecords()
			? quarantine.readSuspicion(readFingerprint(request))
			: noSuspicion;
	}

	function createTraceparent(parent: string | undefined): string | undefined {
		return observer.createTraceparent
			? observer.createTraceparent(parent)
			: parent;
	}

	async function runRoutedRequest(
		routed: RoutedRequest,
		signal: CancelSignal,
	): Promise<RequestEnd> {
		const {request, route, requestId, parameters: callerParameters} = routed;
		const {team, service, sheddingMeansNotRun} = route;
		const deadlineAt = Math.min(
			routed.earliestAt + computeRunDeadlineMs(callerParameters, route),
			Math.max(routed.earliestAt, drainBounds.endsAt),
		);
		const endsAt = Math.max(
			deadlineAt,
			Math.min(
				routed.readAt + computeDeadlineMs(callerParameters, route),
				drainBounds.endsAt,
			),
		);
		const read = await readRequestBody(request, {
			maxBytes: route.maxBodyBytes,
			memory: bodyMemory,
			timeoutMs: Math.max(0, deadlineAt - now()),
		});
		if (read.kind === 'refused') {
			const {reason} = read;
			return {
				outcome: 'not-run',
				reason,
				retryAfterSeconds,
				attempts: 0,
				readFingerprint: () => undefined,
			};
		}

		const {body, reservedBytes, prefix} = read;
		const origin = options.readOrigin?.();
		const {method = 'GET', url: path = '/', headers} = request;
		const isStreamed = !(body instanceof Uint8Array);
		const fingerprinted: FingerprintedRequest = {
			method,
			headers,
			path,
			origin,
			body,
			// Its gate does not know the first bytes.
			fingerprint: isStreamed
				? computeRequestFingerprint({
						method,
						host: headers.host ?? '',
						path,
						origin,
						bodyBytes: readBodyBytes(request),
						body: prefix,
					})
				: undefined,
		};
		const suspicion = readSuspicion(fingerprinted);
		if (suspicion.kind === 'quarantined') {
			bodyMemory.release(reservedBytes);
			if (isStreamed) {
				discardBody(body);
			}

			return {
				outcome: 'not-run',
				reason: 'quarantined',
				retryAfterSeconds: suspicion.remainingMs / msPerSecond,
				attempts: 0,
				readFingerprint: () => readFingerprint(fingerprinted),
			};
		}

		const repeatable = route.repeatable && !isStreamed;
		const key = formatIdempotencyKey(callerParameters, route);
		const {depth} = callerParameters;
		const objectiveMs = usualDeadlines.recordRequest(callerParameters, route);
		const admissionClass = formatAdmissionClass(route, objectiveMs);
		const selection = router.select(service, key, {
			objectiveMs: route.objectiveMs,
			route: route.name,
			admissionClass,
			bodyBytes: readBodyBytes(request) ?? 0,
		});
		if (isStreamed || body.length >= minTransferCostBodyBytes) {
			// A gate refuses an attempt without a valid stamp only once it has its body.
			await selection.refreshStamp();
		}

		const parameters: RequestParameters = {
			repeatable,
			isNested: depth > 0,
			maxAttempts: isStreamed ? 1 : route.maxAttempts,
			deadlineAt,
			endsAt,
			objectiveAt: Math.min(deadlineAt, routed.startedAt + objectiveMs),
		};
		const fullReason = isStreamed ? undefined : selection.findFullReason();
		if (fullReason !== undefined) {
			// What `runRequest` would end with, without timers and an attempt.
			bodyMemory.release(reservedBytes);
			return {
				outcome: 'not-run',
				reason: fullReason,
				retryAfterSeconds: computeRefusalDelay({
					parameters,
					routeObjectiveMs: route.objectiveMs,
					rateLimitWaitMs: selection.readRateLimitWait(),
					now: now(),
					random: random(),
				}),
				attempts: 1,
				readFingerprint: () => readFingerprint(fingerprinted),
			};
		}

		lastId++;
		const end = await runRequest({
			parameters,
			template: {
				idPrefix: `${idPrefix}.${lastId}`,
				requestId,
				team,
				service,
				route: route.name,
				repeatable,
				sheddingMeansNotRun,
				...fingerprinted,
				depth,
				priority: route.priority,
				tenant: route.tenant,
				routeObjectiveMs: route.objectiveMs,
				key,
			},
			signal,
			pickGate: selection.pickGate,
			hasAvailableHost: selection.hasAvailableHost,
			hasUntriedHost: selection.hasUntriedHost,
			isQuarantined: () => readSuspicion(fingerprinted).kind === 'quarantined',
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

	async function handleRoutedRequest(routed: RoutedRequest): Promise<void> {
		const {request, response, lagMs} = routed;
		const cancelSource = createCancelSource();
		response.once('close', () => {
			if (!response.writableFinished) {
				cancelSource.abort();
			}
		});
		if (await hasClientDisconnected(request, lagMs)) {
			const {requestId} = routed;
			giveBackToken(routed);
			abortResponse(response, {
				cause: {kind: 'sender-left'},
				requestId,
				logger,
			});
			return;
		}

		router.recordRequest(routed.route.team, routed.route.service);
		const end = await runRoutedRequest(routed, cancelSource.signal);
		if (end.outcome === 'not-run') {
			giveBackToken(routed);
		}

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

	/** Reads the lag of a request, ms: the larger of event loop lag and accept wait. */
	function readRequestLag(request: IncomingMessage): number {
		return Math.max(readLag(), server.readAcceptWaitMs(request));
	}

	/** Takes a token from the quota of the tenant of a request. */
	function takeToken({tenant}: CompiledRoute): ReturnType<QuotaTask['take']> {
		return tenant !== undefined && quota ? quota.take(tenant) : {kind: 'admit'};
	}

	/** Gives back the token of a request that has not run, unless it was taken long ago: its part of the rate may have been granted again. */
	function giveBackToken({route: {tenant}, readAt}: RoutedRequest): void {
		if (tenant !== undefined && now() - readAt < maxTokenAgeMs) {
			quota?.giveBack(tenant);
		}
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

		const parameters = edge.readCallerParameters(request.headers);
		const found = findRoute(request, table, parameters, edge);
		if (typeof found === 'string') {
			refuse(response, found);
			return;
		}

		const tenantsByKey =
			table?.kind === 'document' ? table.tenantsByKey : undefined;
		const allowed = tenantsByKey
			? checkAccess(request, found, tenantsByKey)
			: found;
		if ('reason' in allowed) {
			const {reason, tenant} = allowed;
			const arrival = {route: found.name, isReturned: undefined, tenant};
			refuse(response, reason, confirmationRetryMs, arrival);
			return;
		}

		const route = chooseService(allowed);
		const deadlineMs = computeDeadlineMs(parameters, route);
		if (!decideDrainAdmission({now: readAt, deadlineMs, ...drainBounds})) {
			refuse(response, 'leaving', busyRetryMs);
			return;
		}

		const {priority = 0} = route;
		const lagMs = readRequestLag(request);
		if (!decideEventLoopAdmission({lagMs, priority})) {
			refuse(response, 'overloaded', computeOverloadDelayMs(parameters), {
				route: route.name,
				isReturned: usualDeadlines.hasReturned(parameters, route),
				...(route.tenant !== undefined && {tenant: route.tenant}),
			});
			return;
		}

		if (!inFlight.canAdmit(route)) {
			refuse(response, 'team-limit');
			return;
		}

		const parentTraceparent = request.headers[traceparentHeader]?.toString();
		inFlight.count(route.team, 1);
		try {
			const token = takeToken(route);
			const decision = token instanceof Promise ? await token : token;
			if (decision.kind === 'refuse') {
				refuse(response, 'quota', decision.retryAfterMs, {
					route: route.name,
					isReturned: usualDeadlines.hasReturned(parameters, route),
					tenant: route.tenant,
				});
				return;
			}

			await handleRoutedRequest({
				request,
				response,
				route,
				parameters,
				requestId: parameters.requestId ?? randomUUID(),
				readAt,
				startedAt: readAt - computeUnreadTime(lagMs),
				earliestAt:
					readAt - computeUnreadTime(server.readSocketWaitMs(request)),
				lagMs,
				isReturned: usualDeadlines.hasReturned(parameters, route),
				parentTraceparent,
				traceparent: createTraceparent(parentTraceparent),
			});
		} finally {
			inFlight.count(route.team, -1);
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
		readMaxWait: options.readMaxWait,
		onAccepted: options.onAccepted,
		now,
	});

	return {
		address: server.address,
		updateRoutes(next) {
			source = next;
			table = compileRouteSource(source, candidates);
		},
		updateMembers(view) {
			router.updateMembers(view);
			const isSame = isSameKeySet(candidates, view.candidates);
			candidates = view.candidates;
			if (!isSame && source?.kind === 'manifests') {
				table = compileRouteSource(source, candidates);
			}
		},
		refuseAll() {
			isRefusing = true;
		},
		readInFlight: inFlight.read,
		countOwed: server.countOwed,
		readIdleMs: () => (server.countOwed() > 0 ? 0 : inFlight.readIdleMs()),
		drain(bounds = unboundedDrain) {
			const {servesUntil, endsAt} = bounds;
			drainBounds = {servesUntil, endsAt: endsAt - responseMarginMs};
			server.drain();
		},
		stop: server.stop,
	};
}
