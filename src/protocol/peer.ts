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

/** A version that a node has refused, with the reason. */
export const refusalSchema = z.object({
	name: nodeNameSchema,
	version: versionSchema,
	problem: problemSchema,
});

/** Progress of a node and of all its descendants in the delivery tree. */
export const progressSchema = z.object({
	/** Lowest version that any of them runs. */
	version: versionSchema,
	members: z.int().min(0).max(1_000_000),
	/** Sum of the hashes of their names; identifies the set of counted members. */
	nameSum: z.int().min(0),
	/** Names of some of the nodes that run the lowest version. */
	laggards: z.array(nodeNameSchema).max(maxNamesPerReport),
	refusals: z.array(refusalSchema).max(maxNamesPerReport),
});

/** A node's request for a configuration newer than its own. */
export const pollSchema = z.object({
	name: nodeNameSchema,
	haveVersion: versionSchema,
	haveDigest: z.string().max(64),
	/** The node can only use versions above this one. */
	afterVersion: versionSchema,
	/** Whether the node needs a snapshot, since log entries could not be applied before. */
	wantSnapshot: z.boolean(),
	/** Highest version known to be held by enough hosts to be safe to run. */
	safeVersion: versionSchema,
	/** Present when the polling node is a child of the polled one in the delivery tree. */
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
