/**
 * Schemas and types of what nodes tell each other about requests under which
 * upstreams have crashed.
 */
import * as z from 'zod';
import {
	maxCrashesPerRecord,
	maxVersionsPerRecord,
	maxCrashAgeMs,
} from './constants.js';
import {softwareVersionSchema} from './member.js';

/** A crash of an upstream while it ran the request of a record. */
export const encodedCrashSchema = z.object({
	/** Identifier of the crash; the same in the records of all requests that were running. */
	id: z.string().max(64),
	ageMs: z
		.int()
		.min(0)
		.transform((ageMs) => Math.min(ageMs, maxCrashAgeMs)),
	/** Whether the request has since been answered by an upstream. */
	isCleared: z.boolean(),
	/** Software version of the upstream; absent when not known. */
	version: softwareVersionSchema.optional(),
});

/** A software version that may run a request although other versions have crashed. */
export const encodedVersionSchema = z.object({
	version: softwareVersionSchema,
	status: z.enum(['announced', 'answered']),
});

/** What is known about one request. */
export const encodedCrashRecordSchema = z.object({
	fingerprint: z.string().max(64),
	/** Full name of the service. */
	service: z.string().max(129),
	crashes: z.array(encodedCrashSchema).max(maxCrashesPerRecord),
	/** Absent when there are none. */
	versions: z.array(encodedVersionSchema).max(maxVersionsPerRecord).optional(),
});

/** Records as received; `decodeCrashRecords` decodes them. */
const encodedRecordsSchema = z.unknown().optional();

/** Sends records to another node. */
export const crashExchangeSchema = z.object({
	records: encodedRecordsSchema,
	/** `true` when the sender asks for the records of the receiver. */
	wantsRecords: z.unknown().optional(),
});

/** The answer to a `crashExchangeSchema` message. */
export const crashExchangeAnswerSchema = z.object({
	records: encodedRecordsSchema,
});

export type EncodedCrashRecord = z.infer<typeof encodedCrashRecordSchema>;
export type CrashExchange = z.infer<typeof crashExchangeSchema>;
export type CrashExchangeAnswer = z.infer<typeof crashExchangeAnswerSchema>;
