import {msPerSecond} from '../../protocol/constants.js';
import {computeQuotaBucket} from './compute-quota-bucket.js';
import {
	briefLifetimeMs,
	tokenLifetimeMs,
	type QuotaGrant,
	type QuotaHolder,
	type QuotaHome,
	type QuotaHomeMessage,
	type QuotaHomeStep,
} from './quota-state.js';

/** Time for which nodes may disagree about the members, ms: the time of a refill that a new home leaves out, and by which a larger share is delayed. */
export const quotaSettleMs = 1000;

/** How many times its part of the bucket a node gets at most, so that no node takes the tokens of many. */
const grantRatio = 8;

/** Time between the asks of all nodes for an exhausted tenant, ms: the home answers at most about 85 asks a second for it. */
const askIntervalMs = 12;

const minWaitMs = 20;
const maxWaitMs = 5000;

const noGrant: QuotaGrant = {tokens: 0, waitMs: 0};

function countOutstanding(holders: ReadonlyMap<string, QuotaHolder>): number {
	let tokens = 0;
	for (const holder of holders.values()) {
		tokens += holder.tokens;
	}

	return tokens;
}

/** Refills a bucket up to a time at which its share and its outstanding tokens are still the same. */
function refillUntil(
	home: QuotaHome,
	at: number,
	outstanding: number,
): QuotaHome {
	const {limit, share} = home;
	const elapsedMs = Math.max(0, at - home.refilledAt);
	const {capacity, refillRate} = computeQuotaBucket(limit);
	const filled = home.level + (refillRate * share * elapsedMs) / msPerSecond;
	const room = capacity * share - outstanding;
	return {
		...home,
		level: Math.max(0, Math.min(filled, room)),
		refilledAt: Math.max(home.refilledAt, at),
	};
}

/** Refills a bucket step by step: tokens that expire make room only from then on. */
function refill(home: QuotaHome, now: number): QuotaHome {
	const holders = new Map(home.holders);
	let outstanding = countOutstanding(holders);
	let next = home;
	const expired = [...holders]
		.filter(([, {tokens, expiresAt}]) => tokens > 0 && expiresAt <= now)
		.toSorted(([, a], [, b]) => a.expiresAt - b.expiresAt);
	for (const [name, holder] of expired) {
		next = refillUntil(next, holder.expiresAt, outstanding);
		outstanding -= holder.tokens;
		holders.set(name, {...holder, tokens: 0});
	}

	for (const [name, {askedAt}] of holders) {
		if (now - askedAt < tokenLifetimeMs) {
			break;
		}

		holders.delete(name);
	}

	const {nextShare} = next;
	if (nextShare && nextShare.at <= now) {
		next = refillUntil(next, nextShare.at, outstanding);
		next = {...next, share: nextShare.share, nextShare: undefined};
	}

	return {...refillUntil(next, now, outstanding), holders};
}

/** Computes how long a node waits that gets no more tokens, ms; longer when many ask. */
function computeWaitMs(home: QuotaHome, now: number, random: number): number {
	const rate = computeQuotaBucket(home.limit).refillRate * home.share;
	const settleMs = Math.max(0, home.refilledAt - now);
	const refillMs =
		settleMs + (Math.max(0, 1 - home.level) * msPerSecond) / rate;
	const turnMs = askIntervalMs * home.holders.size * (0.75 + random / 2);
	const waitMs = Math.max(minWaitMs, refillMs, turnMs);
	return Math.ceil(Math.min(maxWaitMs, waitMs));
}

function answerAsk(
	home: QuotaHome,
	message: QuotaHomeMessage & {readonly kind: 'ask'},
	now: number,
	random: number,
): QuotaHomeStep {
	const {from, want, held, lifeMs = tokenLifetimeMs} = message;
	const known = home.holders.get(from)?.tokens ?? 0;
	// Without a statement of the node, all tokens of its last grant may be unused.
	const left = held === undefined ? known : Math.max(0, held);
	const holders = new Map(home.holders);
	holders.delete(from);
	const part = (grantRatio * home.level) / (holders.size + 1);
	const tokens = Math.min(
		Math.max(0, Math.ceil(want)),
		Math.max(1, Math.floor(part)),
		Math.floor(home.level),
	);
	// Also when a node gets a small part; else each token of a hot tenant would be asked for on its own.
	const isExhausted = tokens < want / 2;
	const grantedLifeMs = isExhausted ? briefLifetimeMs : lifeMs;
	holders.set(from, {
		tokens: left + tokens,
		askedAt: now,
		expiresAt: now + (left > 0 ? tokenLifetimeMs : grantedLifeMs),
	});
	const next = {...home, holders, level: home.level - tokens};
	return {
		home: next,
		grant: {tokens, waitMs: isExhausted ? computeWaitMs(next, now, random) : 0},
	};
}

/**
 * Advances the bucket of a tenant at its quota home by one message.
 *
 * Load pattern: a tenant whose requests enter at many nodes, with far more than
 * its rate at times. Tokens at nodes take up room in the bucket until the node
 * asks again or they expire, so that in any window no more is used than the
 * capacity and what is refilled.
 *
 * @param home - the bucket before; not modified
 * @param message - the message to handle
 * @param now - monotonic ms
 * @param random - a number from 0 up to, but not including, 1
 * @returns the bucket after, and the answer to an ask
 * @example
 * stepQuotaHome(home, {kind: 'ask', from: 'a', want: 1, held: 0}, now, 0.5).grant.tokens; // 1
 */
export function stepQuotaHome(
	home: QuotaHome,
	message: QuotaHomeMessage,
	now: number,
	random: number,
): QuotaHomeStep {
	const filled = refill(home, now);
	switch (message.kind) {
		case 'ask': {
			return answerAsk(filled, message, now, random);
		}

		case 'share': {
			const {share} = message;
			const isLarger = share > filled.share;
			const {nextShare} = filled;
			const at =
				nextShare?.share === share ? nextShare.at : now + quotaSettleMs;
			const changed = isLarger
				? {...filled, nextShare: {share, at}}
				: {...filled, share, nextShare: undefined};
			return {home: refill(changed, now), grant: noGrant};
		}

		case 'limit': {
			const changed = {...filled, limit: message.limit};
			return {home: refill(changed, now), grant: noGrant};
		}
	}
}
