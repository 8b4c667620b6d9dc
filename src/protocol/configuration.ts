/**
 * Types and schemas of the configuration, its log entries and the outcomes of
 * a submission.
 */
import * as z from 'zod';
import {
	manifestSchema,
	nameSchema,
	policySchema,
	routeSchema,
	serviceSchema,
} from './manifest.js';

/** Identifier that an operator chooses for a submission. */
export const submissionIdSchema = z
	.string()
	.min(1)
	.max(128)
	.regex(/^[\w.:\-]+$/v);

/** An accepted manifest within a log entry. */
export const commitSchema = z.strictObject({
	submissionId: submissionIdSchema,
	acceptedAtMs: z.number().min(0),
	manifest: manifestSchema,
});

/** An entry of the configuration log; `digest` is the digest of the resulting configuration. */
export const logEntrySchema = z.strictObject({
	version: z.int().min(1),
	digest: z.string(),
	commits: z.array(commitSchema).min(1),
});

/** Record of an accepted submission, kept to answer repeated submissions. */
export const submissionRecordSchema = z.strictObject({
	id: submissionIdSchema,
	revision: z.int().min(1),
	version: z.int().min(1),
	acceptedAtMs: z.number().min(0),
});

/** The part of the configuration that one team owns. */
export const teamConfigurationSchema = z.strictObject({
	revision: z.int().min(1),
	version: z.int().min(1),
	services: z.record(nameSchema, serviceSchema),
	policies: z.record(nameSchema, policySchema),
	routes: z.array(routeSchema),
	submissions: z.array(submissionRecordSchema),
	digest: z.string(),
});

/** The configuration of all teams at one version. */
export const configurationSchema = z.strictObject({
	version: z.int().min(0),
	digest: z.string(),
	teams: z.record(nameSchema, teamConfigurationSchema),
});

/** The newest complete snapshot; each chunk has its digest here. */
export const snapshotHeadSchema = z.strictObject({
	version: z.int().min(1),
	digest: z.string(),
	chunks: z.array(z.string()).min(1),
	/** Version of the previous snapshot, kept for reads in progress. */
	previous: z.int().min(0),
});

export type SnapshotHead = z.infer<typeof snapshotHeadSchema>;
export type Commit = z.infer<typeof commitSchema>;
export type LogEntry = z.infer<typeof logEntrySchema>;
export type SubmissionRecord = z.infer<typeof submissionRecordSchema>;
export type TeamConfiguration = z.infer<typeof teamConfigurationSchema>;
export type Configuration = z.infer<typeof configurationSchema>;

/** A manifest with the identifier under which it was submitted. */
export type Submission = {
	readonly submissionId: string;
	readonly manifest: Manifest;
};

export type Manifest = z.infer<typeof manifestSchema>;

/** Codes of the reasons for which a manifest or entry is refused. */
const problemCodes = [
	'schema',
	'conflict',
	'unknown-service',
	'unknown-policy',
	'duplicate-route',
	'foreign-path',
	'service-in-use',
	'quota',
	'version-gap',
	'digest',
] as const;

/** A reason for a refusal, as sent to operators. */
export const problemSchema = z.strictObject({
	code: z.enum(problemCodes),
	place: z.string(),
	message: z.string(),
});

/** Progress of a data centre, as its first root writes it to the platform. */
export const dataCentreStatusSchema = z.strictObject({
	dataCentre: z.string(),
	/** Highest version that all its live members have been observed to run; never decreases. */
	version: z.int().min(0),
	/** Lowest version that a member currently runs. */
	lowestVersion: z.int().min(0),
	/** Number of reporting members, and of known live members. */
	members: z.int().min(0),
	expectedMembers: z.int().min(0),
	laggards: z.array(z.string()),
	refusals: z.array(
		z.strictObject({
			name: z.string(),
			version: z.int(),
			problem: problemSchema,
		}),
	),
	writtenAtMs: z.number(),
	writer: z.string(),
});

/** Highest version ever recorded as in force everywhere. */
export const inForceSchema = z.strictObject({version: z.int().min(0)});

export type DataCentreStatus = z.infer<typeof dataCentreStatusSchema>;

const submissionId = submissionIdSchema;

/** Final or provisional answer to a submission. */
export const submissionOutcomeSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('accepted'),
		submissionId,
		version: z.int(),
		revision: z.int(),
	}),
	z.strictObject({
		kind: z.literal('refused'),
		submissionId,
		currentRevision: z.int(),
		problems: z.array(problemSchema),
	}),
	z.strictObject({kind: z.literal('unavailable'), submissionId}),
	z.strictObject({kind: z.literal('unknown'), submissionId}),
]);

export type Problem = Readonly<z.infer<typeof problemSchema>>;
export type ProblemCode = Problem['code'];
export type SubmissionOutcome = Readonly<
	z.infer<typeof submissionOutcomeSchema>
>;
