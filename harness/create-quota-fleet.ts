import type {QuotaDecision} from '../src/coordination/quotas/quota-state.js';
import {
	createQuotaNetwork,
	type QuotaNetworkOptions,
} from './create-quota-network.js';

/** Requests that are sent all the time; to all nodes when their number is absent. */
type Load = {
	readonly perSecond: number;
	readonly nodes: number | undefined;
};

const msPerSecond = 1000;

/**
 * Creates nodes with quotas on simulated time, with a network that delays, loses
 * and cuts, and the requests that they admit or refuse.
 *
 * @param options - see `QuotaNetworkOptions`
 * @returns the nodes, their load and their faults
 * @example
 * createQuotaFleet({seed: 1, nodes: 3, tenants}).offer('registry', 30);
 */
export function createQuotaFleet(options: QuotaNetworkOptions) {
	const {scheduler, countHosts, getHost, ...network} =
		createQuotaNetwork(options);
	const {now, random} = scheduler;
	const used = new Map<string, number[]>();
	const refused = new Map<string, number[]>();
	const loads = new Map<string, Load>();

	function record(tenant: string, decision: QuotaDecision): void {
		const times = decision.kind === 'admit' ? used : refused;
		const list = times.get(tenant) ?? [];
		times.set(tenant, list);
		list.push(now());
	}

	/** Sends one request of a tenant to a random node that serves. */
	function sendRequest(tenant: string, nodes = countHosts()): void {
		const host = getHost(Math.floor(random() * nodes));
		if (!host.isAlive || now() < host.suspendedUntil) {
			return;
		}

		const decision = host.node.take(tenant, (later) => {
			if (host.isAlive) {
				record(tenant, later);
			}
		});
		if (decision) {
			record(tenant, decision);
		}
	}

	function planRequest(tenant: string, load: Load): void {
		const gapMs = (-Math.log(1 - random()) * msPerSecond) / load.perSecond;
		scheduler.schedule(gapMs, () => {
			if (loads.get(tenant) === load) {
				sendRequest(tenant, load.nodes);
				planRequest(tenant, load);
			}
		});
	}

	return {
		...network,
		runUntil: scheduler.runUntil,
		schedule: scheduler.schedule,
		readUsed: (tenant: string): readonly number[] => used.get(tenant) ?? [],
		readRefused: (tenant: string): readonly number[] =>
			refused.get(tenant) ?? [],
		/** Sends requests of a tenant at a rate, to all nodes alike or to the first ones only. */
		offer(
			tenant: string,
			perSecond: number,
			{nodes}: {readonly nodes?: number} = {},
		): void {
			const load: Load = {perSecond, nodes};
			loads.set(tenant, load);
			planRequest(tenant, load);
		},
	};
}
