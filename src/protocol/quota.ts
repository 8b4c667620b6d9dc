/**
 * Schemas and types of what nodes ask the quota homes of tenants.
 */
import * as z from 'zod';

/** Maximum number of tenants in one message. */
export const maxQuotaAsks = 1024;

/** Longest name of a member, a space and part of a random identifier. */
const maxNodeIdLength = 80;

const tenantNameSchema = z.string().max(256);

/** Asks for tokens of one tenant. */
export const quotaAskSchema = z.object({
	tenant: tenantNameSchema,
	/** Number of tokens. */
	want: z.number().min(0),
	/** Unused tokens at the node; absent when it does not tell. */
	held: z.number().min(0).optional(),
	/** Lifetime that the node gives to the tokens, ms; absent for the longest. */
	lifeMs: z.number().min(0).max(2000).optional(),
});

/** Tokens of one tenant. */
export const quotaGrantSchema = z.object({
	tenant: tenantNameSchema,
	tokens: z.int().min(0),
	/** Time until the node should ask again when it has no tokens left, ms; 0 when it may ask at once. */
	waitMs: z.number().min(0),
});

/** Asks as received; each is decoded on its own. */
export const encodedQuotaAsksSchema = z.object({
	/** Name of the asking node. */
	from: z.string().max(maxNodeIdLength),
	asks: z.unknown().optional(),
});

/** The answer as received; a tenant whose quota home is another node is missing. */
export const encodedQuotaGrantsSchema = z.object({
	grants: z.unknown().optional(),
});

export type QuotaAsk = z.infer<typeof quotaAskSchema>;
export type QuotaTenantGrant = z.infer<typeof quotaGrantSchema>;
export type EncodedQuotaAsks = z.infer<typeof encodedQuotaAsksSchema>;
export type EncodedQuotaGrants = z.infer<typeof encodedQuotaGrantsSchema>;
