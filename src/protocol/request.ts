/**
 * Header names and outcomes of a request on its way from caller to upstream.
 */
import type {DocumentTenant, RouteTarget} from './routing-document.js';

export const outcomeHeader = 'boragehitch-outcome';
export const reasonHeader = 'boragehitch-reason';
export const requestIdHeader = 'boragehitch-request-id';
export const attemptHeader = 'boragehitch-attempt';
export const deadlineHeader = 'boragehitch-deadline-ms';
export const serviceHeader = 'boragehitch-service';
export const teamHeader = 'boragehitch-team';
export const repeatableHeader = 'boragehitch-repeatable';
export const loadHeader = 'boragehitch-load';
export const noticeHeader = 'boragehitch-upstream-notice';
export const shedHeader = 'boragehitch-shed';
export const rateLimitHeader = 'boragehitch-rate-limit';
export const upstreamLoadHeader = 'boragehitch-upstream-load';
export const leavingHeader = 'boragehitch-leaving';
export const depthHeader = 'boragehitch-depth';
export const stampHeader = 'boragehitch-stamp';
export const gateTimeHeader = 'boragehitch-gate-time-ms';
export const fingerprintHeader = 'boragehitch-fingerprint';
export const keyHeader = 'boragehitch-key';
export const routeHeader = 'boragehitch-route';
export const originHeader = 'boragehitch-origin';
export const priorityHeader = 'boragehitch-priority';
export const routeObjectiveHeader = 'boragehitch-route-objective-ms';
export const nestedHeader = 'boragehitch-nested';
export const tenantHeader = 'boragehitch-tenant';
export const objectiveHeader = 'boragehitch-objective-ms';
export const idempotencyKeyHeader = 'idempotency-key';
export const traceparentHeader = 'traceparent';

/** Outcome of an attempt or of a whole request. */
export type OutcomeKind = 'answered' | 'not-run' | 'unknown';

/** Reasons for an outcome other than `answered`. */
export const outcomeReasons = [
	'no-route',
	'pending',
	'unreadable-route',
	'no-upstream',
	'team-limit',
	'saturated',
	'limited',
	'deadline',
	'leaving',
	'fenced',
	'shed',
	'not-sent',
	'body-too-large',
	'bad-request',
	'upgrade',
	'cancelled',
	'connection-lost',
	'gate-unreachable',
	'stale-stamp',
	'forgotten',
	'truncated',
	'unanswered',
	'wrong-instance',
	'misplaced',
	'no-configuration',
	'overloaded',
	'quarantined',
	'unknown-key',
	'unproven-configuration',
	'quota',
	'calls-saturated',
] as const;

export type OutcomeReason = (typeof outcomeReasons)[number];

/** A route with all references resolved. */
export type CompiledRoute = {
	readonly team: string;
	readonly name: string;
	readonly path: string;
	readonly methods: ReadonlySet<string>;
	readonly service: string;
	/** Services between which the requests are split; only `service` when absent. */
	readonly targets?: readonly RouteTarget[] | undefined;
	/** Rank among the requests that wait for a slot; 0 is the highest. */
	readonly priority?: number | undefined;
	/** Latency objective, ms. */
	readonly objectiveMs?: number | undefined;
	readonly repeatable: boolean;
	readonly deadlineMs: number;
	readonly maxAttempts: number;
	readonly concurrency: number;
	readonly maxBodyBytes: number;
	readonly sheddingMeansNotRun: boolean;
	/** Whether an upstream of the service is known; otherwise the route is pending. */
	readonly isLive: boolean;
	/** Whether requests need no API key; false when absent. */
	readonly isPublic?: boolean | undefined;
	/** Name of the tenant whose request it is; undefined when it needs no API key. */
	readonly tenant?: string | undefined;
};

/** Routes of manifests by first path segment, longest path first. */
export type ManifestRouteTable = {
	readonly kind: 'manifests';
	readonly version: number;
	readonly byTeam: ReadonlyMap<string, readonly CompiledRoute[]>;
};

/** Routes of a document by host name, then by path prefix. */
export type DocumentRouteTable = {
	readonly kind: 'document';
	readonly version: number;
	readonly byHost: ReadonlyMap<string, ReadonlyMap<string, HostRoute>>;
	/** Whether there is an unreadable route with unknown host, to which any request without a matching route may belong. */
	readonly hasRouteWithUnknownHost: boolean;
	/** Tenants by API key; undefined when requests need none. */
	readonly tenantsByKey?: ReadonlyMap<string, DocumentTenant> | undefined;
};

/** Compiled routes, to be matched with `matchRoute`. */
export type RouteTable = ManifestRouteTable | DocumentRouteTable;

/** A route that cannot be read; its requests are refused. */
export type UnreadableRoute = 'unreadable';

/** Route of the requests to a host under a path prefix. */
export type HostRoute = CompiledRoute | UnreadableRoute;
