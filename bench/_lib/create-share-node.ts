import {compileQuotaLimits} from '../../src/coordination/quotas/compile-quota-limits.js';
import type {QuotaLimit} from '../../src/coordination/quotas/quota-state.js';
import type {SimulatedQuotaNode} from '../../harness/create-quota-network.js';
import type {QuotaNodeOptions} from '../../src/transport/_lib/create-quota-node.js';

type Bucket = {tokens: number; refilledAt: number};

/** Recent demand of every node for one tenant, as the nodes tell each other. */
export type DemandTable = Map<string, Map<string, number>>;

const msPerSecond = 1000;
const demandMs = 2000;

/** Smallest part of an equal share that a node without demand keeps. */
const minDemandRatio = 0.1;

/**
 * Creates a node that holds tenants to a share of its own, without asking
 * others: an equal one, or one that follows its demand as of the last exchange.
 *
 * @param options - options of the node
 * @param demands - demand that all nodes have told last; absent for equal shares
 * @returns the node
 */
export function createShareNode(
	options: QuotaNodeOptions,
	demands?: DemandTable,
): SimulatedQuotaNode {
	const {name, settings, now} = options;
	const buckets = new Map<string, Bucket>();
	const counted = new Map<string, {demand: number; at: number}>();
	let limits: ReadonlyMap<string, QuotaLimit> = new Map();
	let nodes = 1;

	function computeShare(tenant: string): number {
		const told = demands?.get(tenant);
		if (!told) {
			return 1 / nodes;
		}

		let total = 0;
		for (const demand of told.values()) {
			total += demand;
		}

		const least = (minDemandRatio * total) / nodes;
		const own = (told.get(name) ?? 0) + least;
		return total === 0 ? 1 / nodes : own / (total * (1 + minDemandRatio));
	}

	function countDemand(tenant: string): void {
		if (!demands) {
			return;
		}

		const known = counted.get(tenant) ?? {demand: 0, at: now()};
		const decay = Math.exp((known.at - now()) / demandMs);
		const demand = known.demand * decay + msPerSecond / demandMs;
		counted.set(tenant, {demand, at: now()});
		const told = demands.get(tenant) ?? new Map<string, number>();
		demands.set(tenant, told);
		// The others know it after the next exchange, half a second later on average.
		options.schedule(msPerSecond / 2, () => {
			told.set(name, demand);
		});
	}

	return {
		take(tenant) {
			const {ratePerSecond, burst} = limits.get(tenant)!;
			countDemand(tenant);
			const share = computeShare(tenant);
			const capacity = Math.max(1, burst * share);
			const bucket = buckets.get(tenant) ?? {
				tokens: capacity,
				refilledAt: now(),
			};
			const refill =
				(ratePerSecond * share * (now() - bucket.refilledAt)) / msPerSecond;
			const tokens = Math.min(capacity, bucket.tokens + refill);
			const isAdmitted = tokens >= 1;
			buckets.set(tenant, {
				tokens: isAdmitted ? tokens - 1 : tokens,
				refilledAt: now(),
			});
			return isAdmitted
				? {kind: 'admit'}
				: {kind: 'refuse', retryAfterMs: msPerSecond};
		},
		updateMembers({members}) {
			nodes = members.length;
		},
		updateTenants(tenants) {
			limits = compileQuotaLimits(tenants, settings);
		},
		answerAsks: () => [],
		stop() {
			buckets.clear();
		},
	};
}
