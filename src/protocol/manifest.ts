/**
 * Schema and types of a manifest: the routes, services and policies of one team.
 */
import * as z from 'zod';
import {
	defaultConnections,
	defaultDeadlineMs,
	defaultSlots,
	maxAttempts,
	maxBodyBytes,
	maxRoutesPerTeam,
	maxServicesPerTeam,
} from './constants.js';

const namePattern = /^[a-z](?:[a-z\d\-]{0,61}[a-z\d])?$/v;
const routePathPattern = /^(?:\/(?!\.{1,2}(?:\/|$))[\w.~\-]+)+$/v;

/** Name of a team, service, policy or route: lower case, digits and hyphens. */
export const nameSchema = z
	.string()
	.regex(
		namePattern,
		'not 1 to 63 lower-case letters, digits or hyphens, a letter first',
	);

/** A service: a group of upstreams that serve a team's requests. */
export const serviceSchema = z.strictObject({
	slots: z.int().min(1).max(1024).default(defaultSlots),
	connections: z.int().min(1).max(4096).default(defaultConnections),
	shedding: z.enum(['not-run', 'unknown']).default('unknown'),
	shared: z.boolean().default(false),
});

/** A policy: limits, deadline and retries of the requests on a route. */
export const policySchema = z.strictObject({
	repeatable: z.boolean().default(false),
	deadlineMs: z.int().min(1).max(60_000).default(defaultDeadlineMs),
	maxAttempts: z.int().min(1).max(5).default(maxAttempts),
	concurrency: z.int().min(1).max(10_000).default(64),
	maxBodyBytes: z
		.int()
		.min(0)
		.max(16 * maxBodyBytes)
		.default(maxBodyBytes),
});

/** A route: sends requests under a path prefix to a service, subject to a policy. */
export const routeSchema = z.strictObject({
	name: nameSchema,
	path: z
		.string()
		.max(256)
		.regex(
			routePathPattern,
			'not /SEGMENT/SEGMENT of letters, digits and _ . ~ - without dot segments',
		),
	methods: z
		.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']))
		.default([]),
	service: z.string().max(128),
	policy: nameSchema,
});

/** A manifest as an operator submits it. */
export const manifestSchema = z.strictObject({
	team: nameSchema,
	replaces: z.int().min(0),
	services: z
		.record(nameSchema, serviceSchema)
		.refine((value) => Object.keys(value).length <= maxServicesPerTeam)
		.default({}),
	policies: z.record(nameSchema, policySchema).default({}),
	routes: z.array(routeSchema).max(maxRoutesPerTeam).default([]),
});

export type Service = z.infer<typeof serviceSchema>;
export type Policy = z.infer<typeof policySchema>;
export type Route = z.infer<typeof routeSchema>;
export type Manifest = z.infer<typeof manifestSchema>;
