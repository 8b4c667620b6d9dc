import {msPerSecond} from '../../protocol/constants.js';
import {
	briefLifetimeMs,
	tokenLifetimeMs,
	type OwnShare,
	type QuotaAccount,
	type QuotaAccountMessage,
	type QuotaAccountStep,
	type QuotaGrant,
} from './quota-state.js';

/** Time over which the demand of a tenant is averaged, ms. */
const demandMs = 2000;

/** Demand for which a node keeps tokens in advance, s. */
const stockSeconds = 1;

/** Demand from which a node keeps tokens in advance, requests per second; below, most of them would expire. */
const minStockDemand = 1;

/** Time for which a home that did not answer is not asked again, ms. */
const silenceMs = 250;

/** Time for which a tenant that its home has reported as exhausted gets no own share, ms. */
const exhaustionMs = 10_000;

/** Lifetime of a token that was given back, ms; its home may no longer count it as outstanding. */
const returnedLifetimeMs = 500;

/** Time without requests after which an own share starts anew, ms, so that no tokens collect at many nodes. */
const ownShareRetentionMs = 5000;

/** Shortest time after which a refused request should be tried again, ms. */
const minRetryMs = 100;
const maxRetryMs = 5000;

/** Longest time after which a request should be tried again that was refused as the home did not answer, ms; a home that has gone is replaced within seconds. */
const maxSilentRetryMs = 1000;

function countTokens({lots}: QuotaAccount): number {
	let tokens = 0;
	for (const lot of lots) {
		tokens += lot.tokens;
	}

	return tokens;
}

function removeExpired(account: QuotaAccount, now: number): QuotaAccount {
	const {lots} = account;
	return lots.every(({expiresAt}) => expiresAt > now)
		? account
		: {...account, lots: lots.filter(({expiresAt}) => expiresAt > now)};
}

/** Uses up tokens, those first that expire first. */
function removeTokens(account: QuotaAccount, count: number): QuotaAccount {
	let left = count;
	const lots = [];
	for (const lot of account.lots) {
		const used = Math.min(left, lot.tokens);
		left -= used;
		if (lot.tokens > used) {
			lots.push({...lot, tokens: lot.tokens - used});
		}
	}

	return {...account, lots};
}

function addTokens(
	account: QuotaAccount,
	tokens: number,
	expiresAt: number,
): QuotaAccount {
	const lots = [...account.lots, {tokens, expiresAt}].toSorted(
		(a, b) => a.expiresAt - b.expiresAt,
	);
	return {...account, lots};
}

function computeDemand({demand, takenAt}: QuotaAccount, now: number): number {
	return demand * Math.exp(-Math.max(0, now - takenAt) / demandMs);
}

function computeStock(account: QuotaAccount, now: number): number {
	const demand = computeDemand(account, now);
	return demand < minStockDemand ? 0 : Math.ceil(demand * stockSeconds);
}

/** Asks the home when requests wait or less than half of the stock is left. */
function decideAsk(
	step: Omit<QuotaAccountStep, 'ask'>,
	now: number,
): QuotaAccountStep {
	const {account} = step;
	const {waiting, askedAt, refusedUntil, silentUntil} = account;
	const held = countTokens(account);
	const stock = computeStock(account, now);
	const needsTokens = waiting > 0 || held < stock / 2;
	const mayAsk =
		askedAt === undefined && now >= refusedUntil && now >= silentUntil;
	const lifeMs = stock > 0 ? tokenLifetimeMs : briefLifetimeMs;
	return needsTokens && mayAsk
		? {
				...step,
				account: {...account, askedAt: now, lifeMs},
				ask: {want: Math.max(1, waiting + stock - held), held, lifeMs},
			}
		: step;
}

/** Admits waiting requests for which there are tokens. */
function admitWaiting(account: QuotaAccount): QuotaAccountStep {
	const admitted = Math.min(account.waiting, countTokens(account));
	return {
		account: {
			...removeTokens(account, admitted),
			waiting: account.waiting - admitted,
		},
		admitted,
		refused: 0,
		retryAfterMs: 0,
		fromOwnShare: 0,
	};
}

/** Refuses the requests that still wait. */
function refuseWaiting(
	step: QuotaAccountStep,
	retryAfterMs: number,
): QuotaAccountStep {
	const {account} = step;
	return {
		...step,
		account: {...account, waiting: 0},
		refused: account.waiting,
		retryAfterMs: Math.min(maxRetryMs, Math.max(minRetryMs, retryAfterMs)),
	};
}

function refillOwnShare(
	ownShare: OwnShare | undefined,
	now: number,
	perSecond: number,
): OwnShare {
	const elapsedMs = ownShare
		? now - ownShare.refilledAt
		: Number.POSITIVE_INFINITY;
	if (!ownShare || elapsedMs > ownShareRetentionMs) {
		return {tokens: 0, refilledAt: now};
	}

	const refilled = ownShare.tokens + (perSecond * elapsedMs) / msPerSecond;
	return {tokens: Math.min(1, refilled), refilledAt: now};
}

/** Decides about the waiting requests by the node's own share, as the home does not answer. */
function useOwnShare(
	account: QuotaAccount,
	now: number,
	perSecond: number,
): QuotaAccountStep {
	const own = refillOwnShare(account.ownShare, now, perSecond);
	const isExhausted = now - account.exhaustedAt < exhaustionMs;
	const admitted =
		account.waiting > 0 && own.tokens >= 1 && !isExhausted ? 1 : 0;
	const left = {...own, tokens: own.tokens - admitted};
	const step = {
		account: {...account, waiting: account.waiting - admitted, ownShare: left},
		admitted,
		refused: 0,
		retryAfterMs: 0,
		fromOwnShare: admitted,
	};
	const retryMs = ((1 - left.tokens) / perSecond) * msPerSecond;
	return refuseWaiting(step, Math.min(maxSilentRetryMs, retryMs));
}

function acceptGrant(
	account: QuotaAccount,
	{tokens, waitMs}: QuotaGrant,
	now: number,
): QuotaAccountStep {
	const lifeMs = waitMs > 0 ? briefLifetimeMs : account.lifeMs;
	const expiresAt = (account.askedAt ?? now) + lifeMs;
	const isExhausted = waitMs > 0 || tokens < 1;
	const known: QuotaAccount = {
		...account,
		askedAt: undefined,
		ownShare: undefined,
		silentUntil: Number.NEGATIVE_INFINITY,
		refusedUntil: isExhausted
			? now + Math.max(1, waitMs)
			: Number.NEGATIVE_INFINITY,
		exhaustedAt: isExhausted ? now : account.exhaustedAt,
	};
	const isUsable = tokens > 0 && expiresAt > now;
	const step = admitWaiting(
		isUsable ? addTokens(known, tokens, expiresAt) : known,
	);
	return isExhausted ? refuseWaiting(step, waitMs) : decideAsk(step, now);
}

function handleTake(
	account: QuotaAccount,
	now: number,
	ownPerSecond: number,
): QuotaAccountStep {
	const counted: QuotaAccount = {
		...account,
		demand: computeDemand(account, now) + msPerSecond / demandMs,
		takenAt: now,
		waiting: account.waiting + 1,
	};
	if (countTokens(counted) > 0) {
		return decideAsk(admitWaiting(counted), now);
	}

	if (now < counted.refusedUntil) {
		return refuseWaiting(admitWaiting(counted), counted.refusedUntil - now);
	}

	return now < counted.silentUntil
		? useOwnShare(counted, now, ownPerSecond)
		: decideAsk(admitWaiting(counted), now);
}

/**
 * Advances the account of a tenant at a node by one message.
 *
 * A node with much demand for the tenant keeps tokens for a second of it; one
 * with little asks for each request.
 *
 * @param before - the account before; not modified
 * @param message - the message to handle
 * @param now - monotonic ms
 * @param ownPerSecond - own share of the node, requests per second
 * @returns the account after, and what happens to requests that wait
 * @example
 * stepQuotaAccount(emptyAccount, {kind: 'take'}, 0, 1).ask?.want; // 1
 */
export function stepQuotaAccount(
	before: QuotaAccount,
	message: QuotaAccountMessage,
	now: number,
	ownPerSecond: number,
): QuotaAccountStep {
	const account = removeExpired(before, now);
	switch (message.kind) {
		case 'take': {
			return handleTake(account, now, ownPerSecond);
		}

		case 'give-back': {
			return admitWaiting(addTokens(account, 1, now + returnedLifetimeMs));
		}

		case 'answered': {
			return acceptGrant(account, message.grant, now);
		}

		case 'unanswered': {
			const silent = {
				...account,
				askedAt: undefined,
				silentUntil: now + silenceMs,
			};
			return useOwnShare(silent, now, ownPerSecond);
		}

		case 'waited': {
			return useOwnShare(account, now, ownPerSecond);
		}
	}
}
