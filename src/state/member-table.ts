/**
 * Type of the table of known members.
 */
import type {Member} from '../protocol/member.js';

/** Members whose names have hashes of the same bucket, with a digest of the live ones. */
export type MemberBucket = {
	readonly members: ReadonlyMap<string, Member>;
	/** Sum of the live members' hashes, modulo 2 ** 32. */
	readonly digest: number;
};

/** Known members by data centre and bucket. */
export type MemberTable = ReadonlyMap<string, readonly MemberBucket[]>;

/** Number of buckets of each data centre. */
export const bucketsPerDataCentre = 16;
