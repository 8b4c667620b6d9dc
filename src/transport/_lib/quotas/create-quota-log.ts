import {msPerSecond} from '../../../protocol/constants.js';
import type {Logger} from '../../create-logger.js';

/** Why requests of a tenant were refused: its home has no tokens, or did not answer and the own share is used up. */
export type QuotaRefusalCause = 'exhausted' | 'unanswered';

/** Requests of a tenant that were refused together. */
export type QuotaRefusal = {
	readonly tenant: string;
	readonly cause: QuotaRefusalCause;
	readonly count: number;
	/** Rate of the tenant over all nodes, requests per second. */
	readonly ratePerSecond: number;
};

/** Counts of a tenant since the last line. */
type TenantCounts = {refused: number; admitted: number; ratePerSecond: number};

/** Log of what quotas have refused. */
export type QuotaLog = {
	recordAdmitted(tenant: string, count: number): void;
	recordRefused(refused: QuotaRefusal): void;
	/** Records tokens that this node has granted as a quota home. */
	recordGranted(tenant: string, tokens: number): void;
	/** Records that this node has become the quota home of a tenant. */
	recordHome(tenant: string): void;
};

const logIntervalMs = 2 * msPerSecond;

/** Maximum number of tenants in a line. */
const maxTenants = 8;

/**
 * Creates the log of quota refusals, with a line at intervals in which there were
 * some: how many by cause, the tenants with the most, each with what was admitted,
 * what the node has granted as a quota home, and which buckets it has begun.
 *
 * @param options - where the lines go, and monotonic ms
 * @returns the log
 */
export function createQuotaLog(options: {
	readonly logger: Pick<Logger, 'info'>;
	readonly now: () => number;
}): QuotaLog {
	const {logger, now} = options;
	let startedAt = now();
	let causes: Record<QuotaRefusalCause, number> = {exhausted: 0, unanswered: 0};
	const tenants = new Map<string, TenantCounts>();
	const granted = new Map<string, number>();
	let homes: string[] = [];

	function getTenant(tenant: string): TenantCounts {
		const known = tenants.get(tenant) ?? {
			refused: 0,
			admitted: 0,
			ratePerSecond: 0,
		};
		tenants.set(tenant, known);
		return known;
	}

	return {
		recordAdmitted(tenant, count) {
			getTenant(tenant).admitted += count;
		},
		recordGranted(tenant, tokens) {
			granted.set(tenant, (granted.get(tenant) ?? 0) + tokens);
		},
		recordRefused({tenant, cause, count, ratePerSecond}) {
			causes[cause] += count;
			const counts = getTenant(tenant);
			counts.refused += count;
			counts.ratePerSecond = ratePerSecond;
			if (now() - startedAt < logIntervalMs) {
				return;
			}

			const most = [...tenants]
				.filter(([, {refused}]) => refused > 0)
				.toSorted(([, a], [, b]) => b.refused - a.refused)
				.slice(0, maxTenants);
			logger.info('requests refused by quotas', {
				durationMs: Math.round(now() - startedAt),
				...causes,
				tenants: Object.fromEntries(most),
				granted: Object.fromEntries(granted),
				homes,
			});
			startedAt = now();
			causes = {exhausted: 0, unanswered: 0};
			tenants.clear();
			granted.clear();
			homes = [];
		},
		recordHome(tenant) {
			if (homes.length < maxTenants) {
				homes.push(tenant);
			}
		},
	};
}
