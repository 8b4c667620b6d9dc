/**
 * Types and schemas of the plan and the report of a load generator process.
 */
import {z} from 'zod';

/** One stream of requests within a phase. */
export const streamSchema = z.strictObject({
	label: z.string(),
	urls: z.array(z.string()).min(1).readonly(),
	method: z.enum(['GET', 'POST']).default('GET'),
	headers: z.record(z.string(), z.string()).default({}),
	/** Requests kept in flight; ignored when a rate is given. */
	concurrency: z.int().min(0).default(1),
	/** Requests a second with exponential gaps; 0 for a closed loop. */
	rate: z.number().min(0).default(0),
	/** Answers after this time do not count as in time, ms. */
	deadlineMs: z.number().default(2000),
});

/** What the generator does: phases in turn, the whole list repeated. */
export const loadPlanSchema = z.strictObject({
	seed: z.int(),
	rounds: z.int().min(1),
	warmupRounds: z.int().min(0).default(3),
	/** Requests in flight of each stream while warming up. */
	warmupConcurrency: z.int().min(1).default(12),
	phaseMs: z.number().min(1),
	phases: z.array(z.array(streamSchema).min(1).readonly()).min(1).readonly(),
});

/** What one stream came to. */
export const streamReportSchema = z.strictObject({
	label: z.string(),
	sent: z.number(),
	answered: z.number(),
	inTime: z.number(),
	notRun: z.number(),
	unknown: z.number(),
	failed: z.number(),
	reasons: z.record(z.string(), z.number()),
	p50Ms: z.number(),
	p99Ms: z.number(),
	maxMs: z.number(),
	rounds: z.array(
		z.strictObject({
			p50Ms: z.number(),
			p99Ms: z.number(),
			answered: z.number(),
		}),
	),
});

export const loadReportSchema = z.array(streamReportSchema);

export type Stream = z.infer<typeof streamSchema>;
export type LoadPlan = z.infer<typeof loadPlanSchema>;
export type LoadPlanInput = z.input<typeof loadPlanSchema>;
export type StreamReport = z.infer<typeof streamReportSchema>;
