import {randomUUID} from 'node:crypto';
import type {
	QuotaCounts,
	QuotaDecision,
} from '../coordination/quotas/quota-state.js';
import {decodeList} from '../protocol/decode-list.js';
import type {MembersView} from '../protocol/member.js';
import type {QuotaSettings} from '../protocol/mesh-settings.js';
import {
	encodedQuotaGrantsSchema,
	maxQuotaAsks,
	quotaAskSchema,
	quotaGrantSchema,
	type EncodedQuotaAsks,
	type EncodedQuotaGrants,
	type QuotaAsk,
	type QuotaTenantGrant,
} from '../protocol/quota.js';
import type {DocumentTenant} from '../protocol/routing-document.js';
import {createProblemLog} from './_lib/create-problem-log.js';
import {createQuotaNode} from './_lib/create-quota-node.js';
import {createQuotaLog} from './_lib/quotas/create-quota-log.js';
import {createRecentSet} from './_lib/create-recent-set.js';
import type {Logger} from './create-logger.js';

/** Clients of other nodes, as far as this task uses them. */
export type QuotaPeers = {
	getClient(address: string): {
		readonly quota: {
			mutate(
				asks: EncodedQuotaAsks,
				options: {readonly signal: AbortSignal},
			): Promise<unknown>;
		};
	};
};

/** Options of `startQuotaTask`. */
export type QuotaTaskOptions = {
	readonly name: string;
	readonly settings: QuotaSettings;
	readonly peers: QuotaPeers;
	readonly logger: Logger;
	/** Monotonic time, ms; default `performance.now`. */
	readonly now?: () => number;
	/** Returns a number from 0 up to, but not including, 1; default `Math.random`. */
	readonly random?: () => number;
};

/** Task that holds the requests of tenants to their quotas over all nodes. */
export type QuotaTask = {
	/** Takes a token for a request; synchronous when it can be decided at once. */
	take(tenant: string): QuotaDecision | Promise<QuotaDecision>;
	/** Gives back the token of a request that was refused before it ran. */
	giveBack(tenant: string): void;
	updateMembers(view: MembersView): void;
	/** Replaces the tenants; those without a rate have no quota. */
	updateTenants(tenants: readonly DocumentTenant[] | undefined): void;
	/** Answers the asks of another node; an ask that cannot be read costs itself only. */
	handleAsk(message: EncodedQuotaAsks): EncodedQuotaGrants;
	/** Returns what was counted since the start. */
	readCounts(): QuotaCounts;
	stop(): void;
};

/** Time-out of a call to a quota home, ms; a late grant serves the next requests. */
const askTimeoutMs = 500;

/** Time in which at most one line about the quota of a tenant is logged, ms. */
const logIntervalMs = 60_000;
const maxLoggedTenants = 1024;

function schedule(delayMs: number, action: () => void): () => void {
	if (delayMs === 0) {
		const immediate = setImmediate(action);
		return () => {
			clearImmediate(immediate);
		};
	}

	const timer = setTimeout(action, delayMs);
	return () => {
		clearTimeout(timer);
	};
}

/**
 * Starts the task that holds the requests of tenants to their quotas.
 *
 * Each tenant has a quota home, one of the live nodes, that grants tokens to the
 * others. Without tenants with a rate it has no timer and makes no calls.
 *
 * @param options - see `QuotaTaskOptions`
 * @returns the running task
 * @example
 * startQuotaTask({name, settings, peers, logger}).take('registry');
 */
export function startQuotaTask(options: QuotaTaskOptions): QuotaTask {
	const {name, settings, peers, logger} = options;
	const {now = () => performance.now(), random = Math.random} = options;
	// A restarted node has none of the tokens that were granted to it before.
	const from = `${name} ${randomUUID().slice(0, 8)}`;
	const logUnreadable = createProblemLog({
		logger,
		message: 'part of a message not readable',
		now,
	});
	const logged = createRecentSet({
		retentionMs: logIntervalMs,
		maxKeys: maxLoggedTenants,
		now,
	});

	function decodeGrants(
		answer: unknown,
		address: string,
	): readonly QuotaTenantGrant[] | undefined {
		const decoded = encodedQuotaGrantsSchema.safeParse(answer);
		const {value, unreadable} = decodeList(decoded.data?.grants, {
			schema: quotaGrantSchema,
			place: 'grants',
			maxLength: maxQuotaAsks,
		});
		logUnreadable(unreadable, address);
		return value;
	}

	async function callHome(
		address: string,
		asks: readonly QuotaAsk[],
	): Promise<readonly QuotaTenantGrant[] | undefined> {
		try {
			const answer = await peers
				.getClient(address)
				.quota.mutate(
					{from, asks},
					{signal: AbortSignal.timeout(askTimeoutMs)},
				);
			return decodeGrants(answer, address);
		} catch {
			return undefined;
		}
	}

	const node = createQuotaNode({
		name,
		settings,
		now,
		log: createQuotaLog({logger, now}),
		random,
		schedule,
		sendAsks(address, asks, onAnswer) {
			void callHome(address, asks).then(onAnswer);
		},
		onExhaustion(tenant, isExhausted) {
			const message = isExhausted ? 'quota exhausted' : 'quota recovered';
			const key = `${message} ${tenant}`;
			if (!logged.has(key)) {
				logged.add(key);
				logger.info(message, {tenant});
			}
		},
	});

	return {
		take(tenant): QuotaDecision | Promise<QuotaDecision> {
			let settle: ((decision: QuotaDecision) => void) | undefined;
			const decision = node.take(tenant, (later) => {
				settle?.(later);
			});
			return (
				decision ??
				new Promise<QuotaDecision>((resolve) => {
					settle = resolve;
				})
			);
		},
		giveBack: node.giveBack,
		updateMembers: node.updateMembers,
		updateTenants(tenants = []) {
			node.updateTenants(tenants);
		},
		handleAsk(message) {
			const {value: asks, unreadable} = decodeList(message.asks, {
				schema: quotaAskSchema,
				place: 'asks',
				maxLength: maxQuotaAsks,
			});
			logUnreadable(unreadable, message.from);
			return {grants: node.answerAsks(message.from, asks)};
		},
		readCounts: node.readCounts,
		stop: node.stop,
	};
}
