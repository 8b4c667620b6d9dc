/**
 * Types and schemas of members (nodes) and of the upstreams they announce.
 * Members of other versions send fields that are not known here; they are
 * passed over.
 */
import * as z from 'zod';
import type {GateLoad} from './attempt.js';
import type {UpstreamReport} from './edge.js';
import {
	maxCapacity,
	maxDataCentres,
	maxRecordsPerBucket,
	maxUpstreamsPerHost,
} from './constants.js';

/** An upstream as it announces itself to the node on its host. */
export const announcementSchema = z.object({
	team: z.string().max(64),
	service: z.string().max(64),
	address: z.string().regex(/^[\d.]+:\d+$/v),
	/** Identifies one life of the upstream; a later one has a higher number. */
	incarnation: z.int().min(0).optional(),
	/** Counts the announcements of one life; a late one has a lower number. */
	sequence: z.int().min(0).optional(),
	slots: z.int().min(1).max(1024),
	connections: z.int().min(1).max(4096),
	state: z.enum(['ready', 'leaving']),
});

const nameSchema = z.string().regex(/^[\w.\-]{1,64}$/v);
const dataCentreSchema = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v);
const peerAddressSchema = z.string().regex(/^[\d.]{7,15}:\d{1,5}$/v);
const counterSchema = z.int().min(0);

/** An upstream as it is sent between members; its address stays at home. */
export const upstreamSchema = z.object({
	id: z.string().max(64),
	service: z.string().max(129),
	slots: z.int().min(1).max(1024),
	state: z.enum(['ready', 'leaving']),
	ageMs: counterSchema,
});

/** States of a member; `dead` and `left` end an incarnation. */
export const memberStateSchema = z.enum(['alive', 'suspect', 'dead', 'left']);

/** A member's record as it is sent between members. */
export const recordSchema = z.object({
	name: nameSchema,
	dataCentre: dataCentreSchema,
	address: peerAddressSchema,
	incarnation: counterSchema,
	sequence: counterSchema,
	state: memberStateSchema,
	upstreams: z.array(upstreamSchema).max(maxUpstreamsPerHost),
	unreachable: z.array(dataCentreSchema).max(maxDataCentres).optional(),
	/** What it can do for others, in thousandths of a usual host; usual when absent. */
	capacity: z.int().min(1).max(maxCapacity).optional(),
});

/** Who sends a message between members. */
export const senderSchema = z.object({
	name: nameSchema,
	dataCentre: dataCentreSchema,
	address: peerAddressSchema,
	incarnation: counterSchema,
	sequence: counterSchema,
	/** Wall-clock time at which the process started, ms. */
	startedMs: counterSchema,
});

const pageSchema = z.array(recordSchema).max(maxRecordsPerBucket);
const namesSchema = z.array(nameSchema).max(maxRecordsPerBucket);
const digestSchema = z.int().min(0).max(0xff_ff_ff_ff);

/** Version of a record: name, incarnation, sequence and state. */
export const recordVersionSchema = z.tuple([
	nameSchema,
	counterSchema,
	counterSchema,
	memberStateSchema,
]);

/** A message from one member to another, which answers it. */
export const exchangeSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('ping'),
		from: senderSchema,
		records: pageSchema,
	}),
	/** Asks for a probe of another member on the sender's behalf. */
	z.object({
		kind: z.literal('relay'),
		from: senderSchema,
		name: nameSchema,
		address: peerAddressSchema,
	}),
	/** Tells that a relayed probe was answered. */
	z.object({
		kind: z.literal('vouch'),
		from: senderSchema,
		name: nameSchema,
	}),
	z.object({
		kind: z.literal('digests'),
		from: senderSchema,
		roots: z.record(dataCentreSchema, digestSchema),
	}),
	z.object({
		kind: z.literal('bucket'),
		from: senderSchema,
		dataCentre: dataCentreSchema,
		bucket: z.int().min(0).max(255),
		versions: z.array(recordVersionSchema).max(maxRecordsPerBucket),
	}),
]);

/** The answer to an exchange. */
export const exchangeAnswerSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('ack'),
		from: senderSchema,
		records: pageSchema,
		/** Whether the answerer lacks the sender's newest record. */
		needsRecord: z.boolean(),
	}),
	z.object({
		kind: z.literal('digests'),
		from: senderSchema,
		buckets: z.record(dataCentreSchema, z.array(digestSchema).max(256)),
	}),
	z.object({
		kind: z.literal('bucket'),
		from: senderSchema,
		records: pageSchema,
		wanted: namesSchema,
	}),
	z.object({kind: z.literal('busy'), from: senderSchema}),
]);

export type Announcement = z.infer<typeof announcementSchema>;

/** What an upstream says of itself when it is asked. */
export type UpstreamIdentity = Pick<Announcement, 'slots'> & {
	readonly id: string;
	/** Absent when it does not tell. */
	readonly load?: GateLoad | undefined;
	readonly report: UpstreamReport;
};

export type MemberRecord = z.infer<typeof recordSchema>;
export type RecordVersion = z.infer<typeof recordVersionSchema>;
export type Sender = z.infer<typeof senderSchema>;
export type Exchange = z.infer<typeof exchangeSchema>;
export type ExchangeAnswer = z.infer<typeof exchangeAnswerSchema>;

/** An upstream of a known member. */
export type Upstream = Omit<z.infer<typeof upstreamSchema>, 'ageMs'> & {
	/** When it became known, on the own process's monotonic clock, ms. */
	readonly since: number;
};

/** A known member; `incarnation` then `sequence` order its versions. */
export type Member = Omit<MemberRecord, 'upstreams'> & {
	readonly upstreams: readonly Upstream[];
};

/** A host that has at least one upstream of a service. */
export type Candidate = {
	readonly host: string;
	readonly address: string;
	readonly dataCentre: string;
	readonly slots: number;
	/** Since when it is known, on the own process's monotonic clock. */
	readonly sinceMs: number;
	/** Rate that its link has at least, Mbit/s; usual when absent. */
	readonly linkMbps?: number | undefined;
};

/** What the other tasks of a node need to know of the members. */
export type MembersView = {
	readonly self: Member;
	readonly members: readonly Member[];
	readonly candidates: ReadonlyMap<string, readonly Candidate[]>;
	/** Data centres that the own one cannot reach; their members are kept. */
	readonly unreachable?: ReadonlySet<string>;
};
