/**
 * Schemas and types of the messages between nodes.
 */
import {z} from 'zod';
import {configurationSchema, logEntrySchema} from './configuration.js';
import {memberSchema} from './member.js';

/** Progress of a node and of all nodes below it in the delivery tree. */
export const progressSchema = z.strictObject({
	version: z.int().min(0),
	members: z.int().min(0).max(1_000_000),
});

/** A child's request for configuration newer than what it has. */
export const pollSchema = z.strictObject({
	name: z.string().max(64),
	haveVersion: z.int().min(0),
	haveDigest: z.string().max(64),
	progress: progressSchema,
	waitMs: z.int().min(0).max(60_000),
});

/** The answer to a poll. */
export const pollAnswerSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('unchanged')}),
	z.strictObject({
		kind: z.literal('entries'),
		entries: z.array(logEntrySchema),
	}),
	z.strictObject({
		kind: z.literal('snapshot'),
		configuration: configurationSchema,
	}),
]);

/** One side of an exchange of member records. */
export const exchangeSchema = z.strictObject({
	from: z.string().max(64),
	records: z.array(memberSchema).max(50_000),
});

export type Progress = z.infer<typeof progressSchema>;
export type Poll = z.infer<typeof pollSchema>;
export type PollAnswer = z.infer<typeof pollAnswerSchema>;
export type Exchange = z.infer<typeof exchangeSchema>;
