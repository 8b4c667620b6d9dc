/**
 * Schemas and types of a routing document: a whole configuration that an
 * operator writes at once and that the platform has accepted. Nodes of other
 * versions send them too, so fields that are not known are passed over.
 */
import * as z from 'zod';

/** A service that requests may go to, with its part of them. */
export const routeTargetSchema = z.object({
	service: z.string(),
	/** Part of the route's requests, relative to the other targets. */
	weight: z.number().min(0),
});

/** A route of a document: requests for a host name under a path prefix. */
export const documentRouteSchema = z.object({
	name: z.string(),
	host: z.string(),
	pathPrefix: z.string(),
	/** Whether a request may run more than once. */
	repeatable: z.boolean(),
	/** Longest time until the final answer, ms. */
	timeoutMs: z.number().positive(),
	/** Time within which an answer has its full value, ms. */
	objectiveMs: z.number().positive(),
	/** Rank among the requests that wait for a slot; 0 goes first. */
	priority: z.int().min(0),
	/** Most upstreams to which one request may be sent. */
	maxAttempts: z.int().min(1),
	targets: z.array(routeTargetSchema).min(1),
});

/** What a document says of a service. */
export const documentServiceSchema = z.object({
	healthPath: z.string(),
	/** Most connections that an upstream accepts. */
	connections: z.int().min(1),
});

/** Bounds on what a client may send. */
export const clientLimitsSchema = z.object({
	maxHeaderBytes: z.number().positive(),
	maxBodyBytes: z.number().positive(),
	headerTimeoutMs: z.number().positive(),
	/** How long a client may leave a connection idle, ms. */
	idleTimeoutMs: z.number().positive(),
});

/** A part of a document that nodes can't read, and what becomes of it. */
export const documentProblemSchema = z.discriminatedUnion('kind', [
	/** Requests of the route are refused; host and path are absent when they can't be read either. */
	z.object({
		kind: z.literal('route-refused'),
		name: z.string(),
		reason: z.string(),
		host: z.string().optional(),
		pathPrefix: z.string().optional(),
	}),
	/** Requests of these routes run at most once, as nothing is known of them. */
	z.object({
		kind: z.literal('never-repeated'),
		/** The unknown kind of request. */
		name: z.string(),
		/** One of the routes. */
		route: z.string(),
		routes: z.int().min(1),
	}),
	/** What the part says is not regarded. */
	z.object({
		kind: z.literal('left-out'),
		part: z.enum(['service', 'limits', 'resource']),
		name: z.string(),
		reason: z.string(),
	}),
]);

/** A whole configuration. */
export const routingDocumentSchema = z.object({
	version: z.int().min(0),
	routes: z.array(documentRouteSchema),
	services: z.record(z.string(), documentServiceSchema),
	limits: clientLimitsSchema.optional(),
	/** Absent when every part could be read. */
	problems: z.array(documentProblemSchema).optional(),
});

export type RouteTarget = z.infer<typeof routeTargetSchema>;
export type DocumentRoute = z.infer<typeof documentRouteSchema>;
export type DocumentService = z.infer<typeof documentServiceSchema>;
export type ClientLimits = z.infer<typeof clientLimitsSchema>;
export type DocumentProblem = z.infer<typeof documentProblemSchema>;
export type RoutingDocument = z.infer<typeof routingDocumentSchema>;

/** A node's request for a document newer than the one it has. */
export const documentPollSchema = z.object({
	name: z.string().max(64),
	/** Version that the asking node runs; -1 when it has none. */
	version: z.int().min(-1),
	waitMs: z.int().min(0).max(60_000),
});

/** What turns the document of one version into that of a later one. */
export const documentChangesSchema = z.object({
	from: z.int().min(0),
	to: z.int().min(0),
	/** Names of routes that are gone or are put again with other content. */
	removed: z.array(z.string()),
	/** Routes with their places in the later document. */
	put: z.array(z.object({index: z.int().min(0), route: documentRouteSchema})),
	services: z.record(z.string(), documentServiceSchema),
	limits: clientLimitsSchema.optional(),
	problems: z.array(documentProblemSchema).optional(),
});

/** Time since the answering node's copy was last confirmed, ms. */
const ageMsSchema = z.number().min(0);

/** The answer to a poll as it is sent; texts are compressed. */
export const encodedDocumentAnswerSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('unchanged'), ageMs: ageMsSchema}),
	z.object({
		kind: z.literal('changes'),
		ageMs: ageMsSchema,
		text: z.string(),
	}),
	z.object({
		kind: z.literal('whole'),
		ageMs: ageMsSchema,
		text: z.string(),
	}),
]);

export type DocumentPoll = z.infer<typeof documentPollSchema>;
export type DocumentChanges = z.infer<typeof documentChangesSchema>;
export type EncodedDocumentAnswer = z.infer<typeof encodedDocumentAnswerSchema>;

/** The answer to a poll. */
export type DocumentAnswer =
	/** Nothing is newer than what the asking node has. */
	| {readonly kind: 'unchanged'; readonly ageMs: number}
	/** Changes of the document that the asking node has. */
	| {
			readonly kind: 'changes';
			readonly ageMs: number;
			readonly changes: DocumentChanges;
	  }
	| {
			readonly kind: 'whole';
			readonly ageMs: number;
			readonly document: RoutingDocument;
	  };
