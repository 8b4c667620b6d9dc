import {compileQuotaLimits} from '../../coordination/quotas/compile-quota-limits.js';
import {computeQuotaBucket} from '../../coordination/quotas/compute-quota-bucket.js';
import {
	emptyAccount,
	type QuotaAccount,
	type QuotaAccountMessage,
	type QuotaAccountStep,
	type QuotaCounts,
	type QuotaDecision,
	type QuotaGrant,
	type QuotaLimit,
} from '../../coordination/quotas/quota-state.js';
import {stepQuotaAccount} from '../../coordination/quotas/step-quota-account.js';
import type {MembersView} from '../../protocol/member.js';
import type {QuotaSettings} from '../../protocol/mesh-settings.js';
import type {QuotaAsk, QuotaTenantGrant} from '../../protocol/quota.js';
import type {DocumentTenant} from '../../protocol/routing-document.js';
import {createQuotaHomes} from './create-quota-homes.js';
import type {QuotaLog} from './quotas/create-quota-log.js';

/** Options of `createQuotaNode`. */
export type QuotaNodeOptions = {
	readonly name: string;
	readonly settings: QuotaSettings;
	/** Monotonic time, ms. */
	readonly now: () => number;
	/** Returns a number from 0 up to, but not including, 1. */
	readonly random: () => number;
	/** Plans an action; returns a function that cancels it. */
	readonly schedule: (delayMs: number, action: () => void) => () => void;
	/** Sends asks to a quota home, and calls back once: with its grants, or with undefined when it does not answer. */
	readonly sendAsks: (
		address: string,
		asks: readonly QuotaAsk[],
		onAnswer: (grants: readonly QuotaTenantGrant[] | undefined) => void,
	) => void;
	/** Called when the quota of a tenant is exhausted, and when it has not been for some seconds. */
	readonly onExhaustion?: (tenant: string, isExhausted: boolean) => void;
	/** Records refusals and the tenants whose quota home the node becomes; nothing by default. */
	readonly log?: QuotaLog;
};

/** A request that waits for a decision. */
type Waiter = {
	decision: QuotaDecision | undefined;
	onDecision: ((decision: QuotaDecision) => void) | undefined;
};

type Entry = {
	readonly tenant: string;
	account: QuotaAccount;
	readonly waiters: Waiter[];
	cancelWait: (() => void) | undefined;
	isExhausted: boolean;
};

const admission: QuotaDecision = {kind: 'admit'};

/** Maximum time that a request waits for its quota home, ms; calls take up to that long over links that carry long responses. */
const maxWaitMs = 250;

const tickMs = 500;

/** Time without refusals after which the quota of a tenant is no longer exhausted, ms. */
const recoveryMs = 10_000;

/**
 * Creates the quotas of a node without network and clock: its accounts, and the
 * buckets of the tenants whose quota home it is.
 *
 * @param options - see `QuotaNodeOptions`
 * @returns the quotas
 */
export function createQuotaNode(options: QuotaNodeOptions) {
	const {name, settings, now, random, schedule, sendAsks} = options;
	const {onExhaustion, log} = options;
	const entries = new Map<string, Entry>();
	const homes = createQuotaHomes({
		name,
		now,
		random,
		log,
	});
	const pendingAsks = new Map<string, QuotaAsk[]>();
	const counts = {asked: 0, returned: 0, ownShare: 0};
	let limits: ReadonlyMap<string, QuotaLimit> = new Map();
	let cancelTick: (() => void) | undefined;
	let isStopped = false;

	function tick(): void {
		cancelTick = undefined;
		homes.tick();
		for (const entry of entries.values()) {
			const {exhaustedAt} = entry.account;
			if (entry.isExhausted && now() - exhaustedAt > recoveryMs) {
				entry.isExhausted = false;
				onExhaustion?.(entry.tenant, false);
			}
		}

		scheduleTick();
	}

	function scheduleTick(): void {
		if (limits.size > 0 && !cancelTick && !isStopped) {
			homes.checkSuspension();
			cancelTick = schedule(tickMs, tick);
		}
	}

	function decideWaiting(entry: Entry, step: QuotaAccountStep): void {
		const {admitted, refused, retryAfterMs} = step;
		counts.ownShare += step.fromOwnShare;
		for (let index = 0; index < admitted + refused; index++) {
			const waiter = entry.waiters.shift();
			const decision: QuotaDecision =
				index < admitted ? admission : {kind: 'refuse', retryAfterMs};
			if (waiter) {
				waiter.decision = decision;
				waiter.onDecision?.(decision);
			}
		}

		log?.recordAdmitted(entry.tenant, admitted);
		const isExhausted = refused > 0 && entry.account.refusedUntil > now();
		if (refused > 0) {
			const cause = isExhausted ? 'exhausted' : 'unanswered';
			const {ratePerSecond = 0} = limits.get(entry.tenant) ?? {};
			log?.recordRefused({
				tenant: entry.tenant,
				cause,
				count: refused,
				ratePerSecond,
			});
		}

		if (isExhausted && !entry.isExhausted) {
			entry.isExhausted = true;
			onExhaustion?.(entry.tenant, true);
		}
	}

	function dispatch(entry: Entry, message: QuotaAccountMessage): void {
		const limit = limits.get(entry.tenant);
		if (!limit || entries.get(entry.tenant) !== entry) {
			return;
		}

		const ownPerSecond =
			computeQuotaBucket(limit).ownRate / homes.readHolders();
		const step = stepQuotaAccount(entry.account, message, now(), ownPerSecond);
		entry.account = step.account;
		decideWaiting(entry, step);
		if (step.ask) {
			ask(entry, {tenant: entry.tenant, ...step.ask});
		}

		const {waiting} = entry.account;
		if (waiting > 0) {
			entry.cancelWait ??= schedule(maxWaitMs, () => {
				entry.cancelWait = undefined;
				dispatch(entry, {kind: 'waited'});
			});
			return;
		}

		entry.cancelWait?.();
		entry.cancelWait = undefined;
	}

	function applyAnswer(entry: Entry, grant: QuotaGrant | undefined): void {
		dispatch(entry, grant ? {kind: 'answered', grant} : {kind: 'unanswered'});
	}

	function ask(entry: Entry, asked: QuotaAsk): void {
		counts.asked++;
		const home = homes.findHome(entry.tenant);
		switch (home.kind) {
			case 'local': {
				applyAnswer(entry, homes.answerAsk(name, asked));
				break;
			}

			case 'remote': {
				queueAsk(home.address, asked);
				break;
			}

			case 'unknown': {
				applyAnswer(entry, undefined);
				break;
			}
		}
	}

	function queueAsk(address: string, asked: QuotaAsk): void {
		const pending = pendingAsks.get(address);
		if (pending) {
			pending.push(asked);
			return;
		}

		// Requests that were read together ask together.
		pendingAsks.set(address, [asked]);
		schedule(0, () => {
			flush(address);
		});
	}

	function flush(address: string): void {
		const asks = pendingAsks.get(address) ?? [];
		pendingAsks.delete(address);
		const asking = asks.map(({tenant}) => entries.get(tenant));
		sendAsks(address, asks, (grants) => {
			const byTenant = new Map(grants?.map((grant) => [grant.tenant, grant]));
			for (const entry of asking) {
				if (entry) {
					applyAnswer(entry, byTenant.get(entry.tenant));
				}
			}
		});
	}

	function getEntry(tenant: string): Entry {
		const known = entries.get(tenant);
		if (known) {
			return known;
		}

		const entry: Entry = {
			tenant,
			account: emptyAccount,
			waiters: [],
			cancelWait: undefined,
			isExhausted: false,
		};
		entries.set(tenant, entry);
		return entry;
	}

	/** Removes a tenant without a quota; its waiting requests may run. */
	function removeEntry({tenant, cancelWait, waiters}: Entry): void {
		entries.delete(tenant);
		cancelWait?.();
		for (const {onDecision} of waiters) {
			onDecision?.(admission);
		}
	}

	return {
		/** Takes a token; returns undefined when the decision is passed to the listener later. */
		take(
			tenant: string,
			onDecision: (decision: QuotaDecision) => void,
		): QuotaDecision | undefined {
			if (!limits.has(tenant)) {
				return admission;
			}

			homes.checkSuspension();
			const entry = getEntry(tenant);
			const waiter: Waiter = {decision: undefined, onDecision: undefined};
			entry.waiters.push(waiter);
			dispatch(entry, {kind: 'take'});
			waiter.onDecision = onDecision;
			return waiter.decision;
		},
		giveBack(tenant: string): void {
			const entry = entries.get(tenant);
			if (entry) {
				counts.returned++;
				dispatch(entry, {kind: 'give-back'});
			}
		},
		updateMembers: homes.updateMembers,
		updateTenants(tenants: readonly DocumentTenant[]): void {
			limits = compileQuotaLimits(tenants, settings);
			for (const [tenant, entry] of entries) {
				if (!limits.has(tenant)) {
					removeEntry(entry);
				}
			}

			homes.updateLimits(limits);
			scheduleTick();
		},
		/** Grants tokens of the tenants whose quota home this node is. */
		answerAsks(
			from: string,
			asks: readonly QuotaAsk[],
		): readonly QuotaTenantGrant[] {
			homes.checkSuspension();
			return asks.flatMap((asked) => {
				const grant = homes.answerAsk(from, asked);
				return grant ? [{tenant: asked.tenant, ...grant}] : [];
			});
		},
		readCounts: (): QuotaCounts => ({
			...counts,
			granted: homes.readGranted(),
		}),
		stop(): void {
			isStopped = true;
			cancelTick?.();
			for (const entry of entries.values()) {
				removeEntry(entry);
			}
		},
	};
}
