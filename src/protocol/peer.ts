/**
 * Schemas and types of the messages between nodes.
 */
import * as z from 'zod';
import {
	configurationSchema,
	logEntrySchema,
	problemSchema,
} from './configuration.js';
import {
	logEntriesPerPoll,
	maxNamesPerReport,
	requiredHolders,
} from './constants.js';

const versionSchema = z.int().min(0);
const nodeNameSchema = z.string().max(64);

/** A version that a node has refused, and why. */
export const refusalSchema = z.object({
	name: nodeNameSchema,
	version: versionSchema,
	problem: problemSchema,
});

/** Progress of a node and of all nodes below it in the delivery tree. */
export const progressSchema = z.object({
	/** Lowest version that one of them runs. */
	version: versionSchema,
	members: z.int().min(0).max(1_000_000),
	/** Sum of the hashes of their names; tells which members are counted. */
	nameSum: z.int().min(0),
	/** Names of some that run the lowest version. */
	laggards: z.array(nodeNameSchema).max(maxNamesPerReport),
	refusals: z.array(refusalSchema).max(maxNamesPerReport),
});

/** A node's request for configuration newer than what it has. */
export const pollSchema = z.object({
	name: nodeNameSchema,
	haveVersion: versionSchema,
	haveDigest: z.string().max(64),
	/** Only a version above this one is of use to the node. */
	afterVersion: versionSchema,
	/** Whether entries would not help, since they did not fit before. */
	wantSnapshot: z.boolean(),
	/** Highest version known to be held by enough hosts to be run. */
	safeVersion: versionSchema,
	/** Present when the node counts as a child of the one it asks. */
	progress: progressSchema.optional(),
	waitMs: z.int().min(0).max(60_000),
});

const answerFields = {
	name: nodeNameSchema,
	/** Newest version that the answering node holds. */
	version: versionSchema,
	safeVersion: versionSchema,
	/** Names of other nodes known to hold that version. */
	holders: z.array(nodeNameSchema).max(requiredHolders),
};

/** The answer to a poll. */
export const pollAnswerSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('unchanged'), ...answerFields}),
	z.object({
		kind: z.literal('entries'),
		...answerFields,
		entries: z.array(logEntrySchema).max(logEntriesPerPoll),
	}),
	z.object({
		kind: z.literal('snapshot'),
		...answerFields,
		configuration: configurationSchema,
	}),
]);

export type Refusal = z.infer<typeof refusalSchema>;
export type Progress = z.infer<typeof progressSchema>;
export type Poll = z.infer<typeof pollSchema>;
export type PollAnswer = z.infer<typeof pollAnswerSchema>;
