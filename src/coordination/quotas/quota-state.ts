/**
 * Types of the quotas that apply to tenants over all nodes together.
 */
import type {QuotaSettings} from '../../protocol/mesh-settings.js';

/** Limit of a tenant over all nodes. */
export type QuotaLimit = QuotaSettings & {
	readonly ratePerSecond: number;
	/** Requests beyond the rate that may run at once. */
	readonly burst: number;
};

/** Live tokens that a quota home assumes at a node. */
export type QuotaHolder = {
	readonly tokens: number;
	/** When the node last asked, monotonic ms. */
	readonly askedAt: number;
	/** When its tokens expire, monotonic ms. */
	readonly expiresAt: number;
};

/** Token bucket of a tenant at its quota home; times are monotonic ms. */
export type QuotaHome = {
	readonly limit: QuotaLimit;
	/** Tokens that can be granted; together with those outstanding never more than the capacity. */
	readonly level: number;
	/** Time up to which the bucket is refilled; in the future while a predecessor may still grant. */
	readonly refilledAt: number;
	/** Share of the rate and the capacity that this home may grant, from 0 to 1. */
	readonly share: number;
	/** A larger share that applies from the given time. */
	readonly nextShare: {readonly share: number; readonly at: number} | undefined;
	/** Nodes that have asked within the lifetime of a token, the one that asked last at the end. */
	readonly holders: ReadonlyMap<string, QuotaHolder>;
};

/** Messages to the bucket of a quota home. */
export type QuotaHomeMessage =
	| {
			readonly kind: 'ask';
			readonly from: string;
			readonly want: number;
			/** Unused tokens at the node; undefined when it does not tell. */
			readonly held: number | undefined;
			/** Lifetime that the node gives to the tokens; `tokenLifetimeMs` when absent. */
			readonly lifeMs?: number | undefined;
	  }
	| {readonly kind: 'share'; readonly share: number}
	| {readonly kind: 'limit'; readonly limit: QuotaLimit};

/** The answer to an ask. */
export type QuotaGrant = {
	readonly tokens: number;
	/** Time until the node should ask again when it has no tokens left, ms; 0 when it may ask at once. */
	readonly waitMs: number;
};

export type QuotaHomeStep = {
	readonly home: QuotaHome;
	/** The answer to an ask; nothing for other messages. */
	readonly grant: QuotaGrant;
};

/** Tokens that were granted together. */
export type QuotaLot = {readonly tokens: number; readonly expiresAt: number};

/** What a node knows of the quota of one tenant; times are monotonic ms. */
export type QuotaAccount = {
	/** Unused tokens, those that expire first at the start. */
	readonly lots: readonly QuotaLot[];
	/** Recent requests per second at this node, as of the last request. */
	readonly demand: number;
	readonly takenAt: number;
	/** Number of requests that wait for a token. */
	readonly waiting: number;
	/** When the ask in progress was sent; undefined when there is none. */
	readonly askedAt: number | undefined;
	/** Lifetime of the tokens of that ask, ms. */
	readonly lifeMs: number;
	/** Time before which the home has no tokens, as it stated. */
	readonly refusedUntil: number;
	/** Time before which a home that did not answer is not asked again. */
	readonly silentUntil: number;
	/** When the home last reported the tenant as exhausted. */
	readonly exhaustedAt: number;
	/** Own share, while the home does not answer. */
	readonly ownShare: OwnShare | undefined;
};

/** Own share of a node in the rate of a tenant, as a token bucket of at most one token. */
export type OwnShare = {
	readonly tokens: number;
	readonly refilledAt: number;
};

/** Messages to the account of a tenant at a node. */
export type QuotaAccountMessage =
	| {readonly kind: 'take'}
	| {readonly kind: 'give-back'}
	/** The home has answered the ask in progress. */
	| {readonly kind: 'answered'; readonly grant: QuotaGrant}
	/** The ask in progress has failed, or its home does not serve the tenant. */
	| {readonly kind: 'unanswered'}
	/** The waiting requests have waited for as long as they may. */
	| {readonly kind: 'waited'};

export type QuotaAccountStep = {
	readonly account: QuotaAccount;
	/** Number of requests that may run, from the one that has waited longest. */
	readonly admitted: number;
	/** Number of requests that are refused, after those that are admitted. */
	readonly refused: number;
	/** Time after which a refused request may succeed, ms. */
	readonly retryAfterMs: number;
	/** How many of the admitted requests run on the node's own share. */
	readonly fromOwnShare: number;
	/** An ask to be sent to the home. */
	readonly ask?:
		| {readonly want: number; readonly held: number; readonly lifeMs: number}
		| undefined;
};

/** Whether a request of a tenant may run. */
export type QuotaDecision =
	| {readonly kind: 'admit'}
	| {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** Counts of a node since its start. */
export type QuotaCounts = {
	/** Asks that were sent to quota homes, those of this node included. */
	readonly asked: number;
	/** Tokens that this node has granted as a quota home. */
	readonly granted: number;
	/** Tokens of requests that were refused before they ran. */
	readonly returned: number;
	/** Requests that ran on the node's own share. */
	readonly ownShare: number;
};

/** Lifetime of a token at a node, ms. */
export const tokenLifetimeMs = 2000;

/** Lifetime of tokens that are used at once, ms: of an ask for waiting requests only, and of a grant with a wait. They take up room in the bucket for less time. */
export const briefLifetimeMs = 500;

/** Account of a tenant without requests. */
export const emptyAccount: QuotaAccount = {
	lots: [],
	demand: 0,
	takenAt: 0,
	waiting: 0,
	askedAt: undefined,
	lifeMs: tokenLifetimeMs,
	refusedUntil: Number.NEGATIVE_INFINITY,
	silentUntil: Number.NEGATIVE_INFINITY,
	exhaustedAt: Number.NEGATIVE_INFINITY,
	ownShare: undefined,
};
