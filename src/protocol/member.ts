/**
 * Types and schemas of members (nodes) and of the upstreams they announce.
 */
import {z} from 'zod';

/** An upstream as it announces itself to the node on its host. */
export const announcementSchema = z.strictObject({
	team: z.string(),
	service: z.string(),
	address: z.string().regex(/^[\d.]+:\d+$/v),
	slots: z.int().min(1).max(1024),
	connections: z.int().min(1).max(4096),
	state: z.enum(['ready', 'leaving']),
});

/** An upstream as members spread it; the address stays with its own node. */
export const upstreamSchema = z.strictObject({
	id: z.string(),
	service: z.string(),
	slots: z.int().min(1).max(1024),
	state: z.enum(['ready', 'leaving']),
	since: z.number(),
});

/** A member's record; `incarnation` then `sequence` order its versions. */
export const memberSchema = z.strictObject({
	name: z.string(),
	dataCentre: z.string(),
	address: z.string(),
	incarnation: z.number(),
	sequence: z.int().min(0),
	state: z.enum(['alive', 'suspect', 'dead', 'left']),
	upstreams: z.array(upstreamSchema),
});

export type Announcement = z.infer<typeof announcementSchema>;
export type Upstream = z.infer<typeof upstreamSchema>;
export type Member = z.infer<typeof memberSchema>;

/** A host that has at least one upstream of a service. */
export type Candidate = {
	readonly host: string;
	readonly address: string;
	readonly dataCentre: string;
	readonly slots: number;
	readonly sinceMs: number;
};

/** What the other tasks of a node need to know of the members. */
export type MembersView = {
	readonly self: Member;
	readonly members: readonly Member[];
	readonly candidates: ReadonlyMap<string, readonly Candidate[]>;
};
