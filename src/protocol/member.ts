/**
 * Types and schemas of members (nodes) and of the upstreams that they announce.
 * Unknown fields from members of other versions are ignored.
 */
import * as z from 'zod';
import {addressSchema} from './address.js';
import type {GateLoad} from './attempt.js';
import type {UpstreamReport} from './edge.js';
import {maxCapacity, maxDataCentres, maxUpstreamsPerHost} from './constants.js';

export const maxSoftwareVersionLength = 64;

/** Version of an upstream's software, as its team names it. */
export const softwareVersionSchema = z
	.string()
	.min(1)
	.max(maxSoftwareVersionLength);

/** An upstream as it announces itself to the node on its host. */
export const announcementSchema = z.object({
	team: z.string().max(64),
	service: z.string().max(64),
	address: z.string().regex(/^[\d.]+:\d+$/v),
	/** Incarnation of the upstream process; a later one has a higher number. */
	incarnation: z.int().min(0).optional(),
	/** Wall-clock time at which the upstream process started, ms; absent when it does not state it. */
	startedMs: z.int().min(0).optional(),
	/** Number of the announcement within the incarnation; a delayed announcement has a lower one. */
	sequence: z.int().min(0).optional(),
	slots: z.int().min(1).max(1024),
	connections: z.int().min(1).max(4096),
	/** Version of its software; absent when it does not state one. */
	version: softwareVersionSchema.optional(),
	state: z.enum(['ready', 'leaving']),
});

/** Name of a member. */
export const nameSchema = z.string().regex(/^[\w.\-]{1,64}$/v);
/** Name of a data centre. */
export const dataCentreSchema = z.string().regex(/^[a-z][a-z\d\-]{0,62}$/v);
const counterSchema = z.int().min(0);

/** An upstream as sent between members, without its address, which only its own host uses. */
export const upstreamSchema = z.object({
	id: z.string().max(64),
	service: z.string().max(129),
	slots: z.int().min(1).max(1024),
	state: z.enum(['ready', 'leaving']),
	ageMs: counterSchema,
	/** Version of its software; absent from nodes of earlier versions, and when it cannot be read. */
	version: z
		.unknown()
		.transform((value) => softwareVersionSchema.safeParse(value).data)
		.optional(),
});

/** An upstream that has left, as sent between members: a new process of its node must not take a late announcement of it for a current one. */
export const departureSchema = z.object({
	id: z.string().max(64),
	/** Incarnation that has left; a later one may be offered. */
	incarnation: counterSchema,
	/** Address of its announcements; empty when it is not known. */
	address: z.string().max(64),
	/** Time for which late announcements of it may still arrive, ms. */
	remainingMs: counterSchema,
});

/** States of a member; `dead` and `left` end an incarnation. */
export const memberStateSchema = z.enum(['alive', 'suspect', 'dead', 'left']);

/** A member's record as sent between members. */
export const recordSchema = z.object({
	name: nameSchema,
	dataCentre: dataCentreSchema,
	address: addressSchema,
	incarnation: counterSchema,
	sequence: counterSchema,
	state: memberStateSchema,
	upstreams: z.array(upstreamSchema).max(maxUpstreamsPerHost),
	unreachable: z.array(dataCentreSchema).max(maxDataCentres).optional(),
	/** Capacity for serving other members, in thousandths of the reference host; that of the reference host when absent. */
	capacity: z.int().min(1).max(maxCapacity).optional(),
	/** Upstreams of the host that have left a short time ago; absent when there are none. */
	departures: z.array(departureSchema).max(maxUpstreamsPerHost).optional(),
});

/** Sender of a message between members. */
export const senderSchema = z.object({
	name: nameSchema,
	dataCentre: dataCentreSchema,
	address: addressSchema,
	incarnation: counterSchema,
	sequence: counterSchema,
	/** Wall-clock time at which the process started, ms. */
	startedMs: counterSchema,
});

/** Digest of records. */
export const digestSchema = z.int().min(0).max(0xff_ff_ff_ff);

/** Version of a record: name, incarnation, sequence and state. */
export const recordVersionSchema = z.tuple([
	nameSchema,
	counterSchema,
	counterSchema,
	memberStateSchema,
]);

/** A sender as received; `decodeSender` decodes what is not its identity. */
export const encodedSenderSchema = senderSchema.extend({
	startedMs: z.unknown().optional(),
});

/** A request from one member to another as received; `decodeExchange` decodes its lists and optional fields. */
export const encodedExchangeSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('ping'),
		from: encodedSenderSchema,
		records: z.unknown().optional(),
		crashDigest: z.unknown().optional(),
	}),
	z.object({
		kind: z.literal('relay'),
		from: encodedSenderSchema,
		name: nameSchema,
		address: addressSchema,
	}),
	z.object({
		kind: z.literal('vouch'),
		from: encodedSenderSchema,
		name: nameSchema,
	}),
	z.object({
		kind: z.literal('digests'),
		from: encodedSenderSchema,
		roots: z.unknown().optional(),
		departures: z.unknown().optional(),
	}),
	z.object({
		kind: z.literal('bucket'),
		from: encodedSenderSchema,
		dataCentre: dataCentreSchema,
		bucket: z.int().min(0).max(255),
		versions: z.unknown().optional(),
	}),
]);

/** The answer to an exchange as received; `decodeExchangeAnswer` decodes its lists and optional fields. */
export const encodedExchangeAnswerSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('ack'),
		from: encodedSenderSchema,
		records: z.unknown().optional(),
		needsRecord: z.unknown().optional(),
		crashDigest: z.unknown().optional(),
		departures: z.unknown().optional(),
	}),
	z.object({
		kind: z.literal('digests'),
		from: encodedSenderSchema,
		buckets: z.unknown().optional(),
		departures: z.unknown().optional(),
	}),
	z.object({
		kind: z.literal('bucket'),
		from: encodedSenderSchema,
		records: z.unknown().optional(),
		wanted: z.unknown().optional(),
	}),
	z.object({kind: z.literal('busy'), from: encodedSenderSchema}),
]);

export type Announcement = z.infer<typeof announcementSchema>;

/** Identity, load and report of an upstream, from the response to a probe. */
export type UpstreamIdentity = Pick<Announcement, 'slots'> & {
	readonly id: string;
	/** Absent when the upstream does not report it. */
	readonly load?: GateLoad | undefined;
	readonly report: UpstreamReport;
};

export type MemberRecord = z.infer<typeof recordSchema>;
export type RecordVersion = z.infer<typeof recordVersionSchema>;
export type Sender = z.infer<typeof senderSchema>;
export type EncodedSender = z.infer<typeof encodedSenderSchema>;
export type EncodedExchange = z.infer<typeof encodedExchangeSchema>;

/** A request from one member to another. */
export type Exchange =
	| {
			readonly kind: 'ping';
			readonly from: Sender;
			readonly records: readonly MemberRecord[];
			/** Digest of the sender's crash records; absent from earlier versions. */
			readonly crashDigest?: number | undefined;
	  }
	/** Requests an indirect probe of another member on the sender's behalf. */
	| {
			readonly kind: 'relay';
			readonly from: Sender;
			readonly name: string;
			readonly address: string;
	  }
	/** Reports that an indirect probe was answered. */
	| {readonly kind: 'vouch'; readonly from: Sender; readonly name: string}
	| {
			readonly kind: 'digests';
			readonly from: Sender;
			/** Digest of each data centre's records. */
			readonly roots: Readonly<Record<string, number>>;
			/** Upstreams that left the receiver's host; absent when there are none. */
			readonly departures?: readonly DepartureRecord[] | undefined;
	  }
	| {
			readonly kind: 'bucket';
			readonly from: Sender;
			readonly dataCentre: string;
			readonly bucket: number;
			readonly versions: readonly RecordVersion[];
	  };

/** The answer to an exchange. */
export type ExchangeAnswer =
	| {
			readonly kind: 'ack';
			readonly from: Sender;
			readonly records: readonly MemberRecord[];
			/** Whether the answering member lacks the sender's newest record. */
			readonly needsRecord: boolean;
			/** Digest of the crash records of the answering member; absent from earlier versions. */
			readonly crashDigest?: number | undefined;
			/** Upstreams that left the sender's host before its process started; absent when there are none. */
			readonly departures?: readonly DepartureRecord[] | undefined;
	  }
	| {
			readonly kind: 'digests';
			readonly from: Sender;
			/** Digests of the buckets of each data centre that differs. */
			readonly buckets: Readonly<Record<string, readonly number[]>>;
			/** As in an acknowledgement. */
			readonly departures?: readonly DepartureRecord[] | undefined;
	  }
	| {
			readonly kind: 'bucket';
			readonly from: Sender;
			readonly records: readonly MemberRecord[];
			/** Names of the members whose records are older at the answering member. */
			readonly wanted: readonly string[];
	  }
	| {readonly kind: 'busy'; readonly from: Sender};

/** An upstream of a known member. */
export type Upstream = Omit<z.infer<typeof upstreamSchema>, 'ageMs'> & {
	/** When its process started as far as it states that, else when it became known, on this process's monotonic clock, ms. */
	readonly since: number;
};

export type DepartureRecord = z.infer<typeof departureSchema>;

/** An upstream that has left its host. */
export type Departure = Omit<DepartureRecord, 'remainingMs'> & {
	/** Until when late announcements of it may arrive, on this process's monotonic clock, ms. */
	readonly endsAt: number;
};

/** A known member; `incarnation` then `sequence` order its versions. */
export type Member = Omit<MemberRecord, 'upstreams' | 'departures'> & {
	readonly upstreams: readonly Upstream[];
	readonly departures?: readonly Departure[] | undefined;
};

/** A host that has at least one upstream of a service. */
export type Candidate = {
	readonly host: string;
	readonly address: string;
	readonly dataCentre: string;
	readonly slots: number;
	/** When the first of its upstreams started, as far as they state it, else when it became known, on this process's monotonic clock, ms. */
	readonly sinceMs: number;
	/** Minimum bandwidth of its link, Mbit/s; that of the reference host when absent. */
	readonly linkMbps?: number | undefined;
	/** Software versions that its ready upstreams announce; absent when none does. */
	readonly versions?: readonly string[] | undefined;
};

/** View of the members for the other tasks of a node. */
export type MembersView = {
	readonly self: Member;
	readonly members: readonly Member[];
	readonly candidates: ReadonlyMap<string, readonly Candidate[]>;
	/** Data centres that the local one cannot reach; their members are kept. */
	readonly unreachable?: ReadonlySet<string>;
	/** Whether the node has just started and is about to learn of more members; false when absent. */
	readonly isPartial?: boolean;
};
