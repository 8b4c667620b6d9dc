/**
 * Schemas and types of a routing document: a full configuration that an operator
 * writes as one document and that the platform has accepted. Documents may come
 * from nodes of other versions, so unknown fields are ignored.
 */
import * as z from 'zod';

/** A target service of a route, with its weight. */
export const routeTargetSchema = z.object({
	service: z.string(),
	/** Weight of the service relative to the other targets of the route. */
	weight: z.number().min(0),
});

/** A route of a document: requests for a host name under a path prefix. */
export const documentRouteSchema = z.object({
	name: z.string(),
	host: z.string(),
	pathPrefix: z.string(),
	/** Whether a request may run more than once. */
	repeatable: z.boolean(),
	/** Time limit until the final response, ms. */
	timeoutMs: z.number().positive(),
	/** Latency objective, ms. */
	objectiveMs: z.number().positive(),
	/** Rank among the requests that wait for a slot; 0 is the highest. */
	priority: z.int().min(0),
	/** Maximum number of upstreams to which a request may be sent. */
	maxAttempts: z.int().min(1),
	targets: z.array(routeTargetSchema).min(1),
	/** Whether requests need no API key; without effect in a document without tenants. */
	isPublic: z.boolean().optional(),
});

/** A tenant: a customer that owns API keys. */
export const documentTenantSchema = z.object({
	name: z.string(),
	keys: z.array(z.string()),
	/** Rank that replaces the one of the route; that of the route when absent. */
	priority: z.int().min(0).optional(),
	/** Requests per second over all nodes; no limit when absent. */
	ratePerSecond: z.number().positive().optional(),
	/** Requests beyond the rate that may arrive at once, over all nodes; 0 when absent. */
	burst: z.number().min(0).optional(),
});

/** Settings of a service in a document. */
export const documentServiceSchema = z.object({
	healthPath: z.string(),
	/** Maximum number of connections that an upstream accepts. */
	connections: z.int().min(1),
});

/** Limits for clients. */
export const clientLimitsSchema = z.object({
	maxHeaderBytes: z.number().positive(),
	maxBodyBytes: z.number().positive(),
	headerTimeoutMs: z.number().positive(),
	/** Time for which a client may keep a connection idle, ms. */
	idleTimeoutMs: z.number().positive(),
});

/** A part of a document that cannot be read, and how it is handled. */
export const documentProblemSchema = z.discriminatedUnion('kind', [
	/** Requests of the route are refused; host and path prefix are absent when they cannot be read either. */
	z.object({
		kind: z.literal('route-refused'),
		name: z.string(),
		reason: z.string(),
		host: z.string().optional(),
		pathPrefix: z.string().optional(),
	}),
	/** Requests of these routes run at most once, as their kind of request is unknown. */
	z.object({
		kind: z.literal('never-repeated'),
		/** The unknown kind of request. */
		name: z.string(),
		/** Name of one of the routes. */
		route: z.string(),
		routes: z.int().min(1),
	}),
	/** The part is ignored. */
	z.object({
		kind: z.literal('left-out'),
		part: z.enum(['service', 'limits', 'tenant', 'resource']),
		name: z.string(),
		reason: z.string(),
	}),
]);

/** Parts of a document or of changes as received; `decodeDocumentAnswer` decodes them one by one. */
const encodedParts = {
	services: z.unknown().optional(),
	limits: z.unknown().optional(),
	problems: z.unknown().optional(),
};

/** A document as received. */
export const encodedDocumentSchema = z.object({
	version: z.int().min(0),
	routes: z.array(z.unknown()),
	tenants: z.unknown().optional(),
	...encodedParts,
});

export type RouteTarget = z.infer<typeof routeTargetSchema>;
export type DocumentRoute = z.infer<typeof documentRouteSchema>;
export type DocumentService = z.infer<typeof documentServiceSchema>;
export type DocumentTenant = z.infer<typeof documentTenantSchema>;
export type ClientLimits = z.infer<typeof clientLimitsSchema>;
export type DocumentProblem = z.infer<typeof documentProblemSchema>;

/** What a document and changes have in common. */
type DocumentParts = {
	readonly services: Readonly<Record<string, DocumentService>>;
	readonly limits?: ClientLimits | undefined;
	/** Absent when all parts could be read. */
	readonly problems?: readonly DocumentProblem[] | undefined;
};

/** Changes of the tenants of a document. */
export type TenantChanges = {
	/** Names of tenants that are deleted, or are replaced by a tenant in `put`. */
	readonly removed: readonly string[];
	readonly put: readonly DocumentTenant[];
};

/** A full configuration as one document. */
export type RoutingDocument = DocumentParts & {
	readonly version: number;
	readonly routes: readonly DocumentRoute[];
	/** Absent when requests need no API keys. */
	readonly tenants?: readonly DocumentTenant[] | undefined;
	/** The problems with routes that only this node has, which are not in the changes that another one sends. */
	readonly ownProblems?: readonly DocumentProblem[] | undefined;
};

/** A node's request for a document newer than its own. */
export const documentPollSchema = z.object({
	name: z.string().max(64),
	/** Version that the polling node runs; -1 when it has none. */
	version: z.int().min(-1),
	waitMs: z.int().min(0).max(60_000),
});

/** Changes as received. A route that cannot be read makes all routes unusable, as they are placed by their indices. */
export const encodedChangesSchema = z.object({
	from: z.int().min(0),
	to: z.int().min(0),
	/** Names of routes that are deleted, or are replaced by a route in `put`. */
	removed: z.array(z.string()),
	/** New and replaced routes with their indices in the later document. */
	put: z.array(z.object({index: z.int().min(0), route: documentRouteSchema})),
	/** Absent when the later document has no tenants. A tenant that cannot be read makes the changes unusable. */
	tenants: z
		.object({
			removed: z.array(z.string()),
			put: z.array(documentTenantSchema),
		})
		.optional(),
	...encodedParts,
});

const unreadableAgeMs = Number.MAX_SAFE_INTEGER;
const readableAgeSchema = z.number().min(0);

/** Time since the answering node's copy was last confirmed, ms; one that cannot be read counts as too old, so that another node is polled next. */
const ageMsSchema = z.preprocess(
	(ageMs) => readableAgeSchema.safeParse(ageMs).data ?? unreadableAgeMs,
	readableAgeSchema,
);

/** Part of a proof of freshness, ms; one that cannot be read counts as absent. */
const proofMsSchema = z
	.unknown()
	.transform((ms) => readableAgeSchema.safeParse(ms).data)
	.optional();

/** Proof of freshness in an answer; nodes of earlier versions send none. */
const proofFields = {
	/** Age of the proof at the answering node when it answered, ms; absent if it has none. */
	proofAgeMs: proofMsSchema,
	/** Time for which the answering node held the poll, ms. */
	heldMs: proofMsSchema,
};

/** The answer to a poll as sent; texts are compressed. */
export const encodedDocumentAnswerSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('unchanged'),
		ageMs: ageMsSchema,
		...proofFields,
	}),
	z.object({
		kind: z.literal('changes'),
		ageMs: ageMsSchema,
		...proofFields,
		text: z.string(),
	}),
	z.object({
		kind: z.literal('whole'),
		ageMs: ageMsSchema,
		...proofFields,
		text: z.string(),
	}),
]);

export type DocumentPoll = z.infer<typeof documentPollSchema>;

/** Changes from the document of one version to that of a later one. */
export type DocumentChanges = DocumentParts &
	Omit<
		z.infer<typeof encodedChangesSchema>,
		keyof DocumentParts | 'tenants'
	> & {
		readonly tenants?: TenantChanges | undefined;
	};
export type EncodedDocumentAnswer = z.infer<typeof encodedDocumentAnswerSchema>;

/** Proof of freshness in an answer; absent if the answering node has none. */
export type AnswerProof = {
	/** Age of the proof at the answering node when it answered, ms. */
	readonly proofAgeMs?: number | undefined;
	/** Time for which that node held the poll, ms; never more than the true time. */
	readonly heldMs?: number | undefined;
};

/** The answer to a poll. */
export type DocumentAnswer = AnswerProof & {
	/** Time since the answering node's copy was last confirmed, ms. */
	readonly ageMs: number;
} & (
		| /** There is no newer document. */
		  {readonly kind: 'unchanged'}
		  /** Changes to the polling node's document. */
		| {readonly kind: 'changes'; readonly changes: DocumentChanges}
		| {readonly kind: 'whole'; readonly document: RoutingDocument}
	);
