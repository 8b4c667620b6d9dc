import {
	computeQuotaMembers,
	type QuotaMembers,
} from '../../coordination/quotas/compute-quota-members.js';
import {createQuotaHome} from '../../coordination/quotas/create-quota-home.js';
import {pickQuotaHome} from '../../coordination/quotas/pick-quota-home.js';
import type {
	QuotaGrant,
	QuotaHome,
	QuotaLimit,
} from '../../coordination/quotas/quota-state.js';
import {stepQuotaHome} from '../../coordination/quotas/step-quota-home.js';
import type {MembersView} from '../../protocol/member.js';
import type {QuotaAsk} from '../../protocol/quota.js';
import type {QuotaLog} from './quotas/create-quota-log.js';

/** Options of `createQuotaHomes`. */
export type QuotaHomesOptions = {
	/** Name of this node. */
	readonly name: string;
	/** Monotonic time, ms. */
	readonly now: () => number;
	/** Returns a number from 0 up to, but not including, 1. */
	readonly random: () => number;
	/** Records grants, and the tenants whose quota home this node becomes; nothing by default. */
	readonly log?: QuotaLog | undefined;
};

/** Where the quota home of a tenant is. */
export type QuotaHomePlace =
	| {readonly kind: 'local'}
	| {readonly kind: 'remote'; readonly address: string}
	| {readonly kind: 'unknown'};

/** The quota homes of all tenants, and the buckets of those whose home this node is. */
export type QuotaHomes = {
	updateMembers(view: MembersView): void;
	updateLimits(limits: ReadonlyMap<string, QuotaLimit>): void;
	/** Must be called at short intervals: applies what changes with time, and finds out when the process was suspended. */
	tick(): void;
	/** Starts the buckets anew if the process was suspended. */
	checkSuspension(): void;
	findHome(tenant: string): QuotaHomePlace;
	/** Answers an ask; undefined when this node is not the home, or may not grant yet. */
	answerAsk(from: string, ask: QuotaAsk): QuotaGrant | undefined;
	/** Returns the number of nodes among which the rates are divided; infinity while it is not known. */
	readHolders(): number;
	/** Returns the number of tokens granted since the start. */
	readGranted(): number;
};

/** Time without a tick after which the process must have been suspended, ms; other nodes may have replaced it as a quota home. */
const suspensionMs = 1500;

/**
 * Creates the quota homes as a node knows them, without network and clock.
 *
 * @param options - see `QuotaHomesOptions`
 * @returns the quota homes; none is known before the members are
 */
export function createQuotaHomes(options: QuotaHomesOptions): QuotaHomes {
	const {name, now, random, log} = options;
	const homes = new Map<string, QuotaHome>();
	/** Name of the home of each tenant, for the current members. */
	const homeNames = new Map<string, string>();
	let limits: ReadonlyMap<string, QuotaLimit> = new Map();
	let view: MembersView | undefined;
	let members: QuotaMembers | undefined;
	let tickedAt = now();
	let granted = 0;

	/** Lets this node become or cease to be the home of a tenant. */
	function updateHome(
		tenant: string,
		limit: QuotaLimit,
		isResumed = false,
	): void {
		if (!members) {
			return;
		}

		const home = pickQuotaHome(members.live.keys(), tenant)!;
		const isStarting = !homeNames.has(tenant) && members.holders === 1;
		const before = homeNames.get(tenant);
		const isSuspected = before !== undefined && members.suspectedAt.has(before);
		const changed = isSuspected ? 'suspicion' : 'members';
		const cause = isStarting ? 'start' : changed;
		homeNames.set(tenant, home);
		if (home !== name) {
			homes.delete(tenant);
		} else if (!homes.has(tenant)) {
			const {share} = members;
			log?.recordHome(tenant);
			homes.set(
				tenant,
				createQuotaHome(
					{limit, share, cause: isResumed ? 'suspension' : cause},
					now(),
				),
			);
		}
	}

	function updateHomes(isResumed = false): void {
		for (const [tenant, limit] of limits) {
			updateHome(tenant, limit, isResumed);
		}
	}

	function applyView(): void {
		const before = members;
		members = view && computeQuotaMembers(before, view, now());
		if (!members) {
			return;
		}

		const {live, share} = members;
		const isSame =
			before?.live.size === live.size &&
			[...live.keys()].every((member) => before.live.has(member));
		if (!isSame) {
			updateHomes();
		}

		for (const [tenant, home] of homes) {
			if (share !== (home.nextShare?.share ?? home.share)) {
				const message = {kind: 'share', share} as const;
				homes.set(tenant, stepQuotaHome(home, message, now(), random()).home);
			}
		}
	}

	/** Starts all buckets anew after a suspension, in which others may have granted their tokens. */
	function checkSuspension(): void {
		if (now() - tickedAt > suspensionMs) {
			homes.clear();
			updateHomes(true);
		}

		tickedAt = now();
	}

	function answerAsk(from: string, ask: QuotaAsk): QuotaGrant | undefined {
		const home = homes.get(ask.tenant);
		if (!home) {
			return undefined;
		}

		const {want, held, lifeMs} = ask;
		const message = {kind: 'ask', from, want, held, lifeMs} as const;
		const step = stepQuotaHome(home, message, now(), random());
		homes.set(ask.tenant, step.home);
		granted += step.grant.tokens;
		log?.recordGranted(ask.tenant, step.grant.tokens);
		const isSettling = home.refilledAt > now();
		return isSettling && step.grant.tokens === 0 ? undefined : step.grant;
	}

	return {
		updateMembers(next) {
			checkSuspension();
			view = next;
			applyView();
		},
		updateLimits(next) {
			limits = next;
			for (const tenant of homeNames.keys()) {
				if (!limits.has(tenant)) {
					homeNames.delete(tenant);
					homes.delete(tenant);
				}
			}

			for (const [tenant, limit] of limits) {
				const home = homes.get(tenant);
				if (home) {
					const message = {kind: 'limit', limit} as const;
					homes.set(tenant, stepQuotaHome(home, message, now(), random()).home);
				} else if (!homeNames.has(tenant)) {
					updateHome(tenant, limit);
				}
			}
		},
		tick() {
			checkSuspension();
			if (members && members.diedAt.size + members.suspectedAt.size > 0) {
				applyView();
			}
		},
		checkSuspension,
		findHome(tenant) {
			const home = homeNames.get(tenant);
			if (home === name) {
				return {kind: 'local'};
			}

			const address = home === undefined ? undefined : members?.live.get(home);
			return address === undefined
				? {kind: 'unknown'}
				: {kind: 'remote', address};
		},
		answerAsk,
		readHolders: () => members?.holders ?? Number.POSITIVE_INFINITY,
		readGranted: () => granted,
	};
}
