import {msPerSecond} from '../../../protocol/constants.js';
import type {Logger} from '../../create-logger.js';

/** Why requests of a tenant were refused: its home has no tokens, or did not answer and the own share is used up. */
export type QuotaRefusalCause = 'exhausted' | 'unanswered';

/** Log of what quotas have refused. */
export type QuotaLog = {
	recordRefused(tenant: string, cause: QuotaRefusalCause, count: number): void;
	/** Records that this node has become the quota home of a tenant. */
	recordHome(tenant: string): void;
};

const logIntervalMs = 2 * msPerSecond;

/** Maximum number of tenants in a line. */
const maxTenants = 8;

/**
 * Creates the log of quota refusals, with a line at intervals in which there were
 * some: how many by cause, the tenants with the most, and how many buckets the node
 * has begun as a quota home.
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
	const tenants = new Map<string, number>();
	let homes: string[] = [];

	return {
		recordRefused(tenant, cause, count) {
			causes[cause] += count;
			tenants.set(tenant, (tenants.get(tenant) ?? 0) + count);
			if (now() - startedAt < logIntervalMs) {
				return;
			}

			const most = [...tenants]
				.toSorted(([, a], [, b]) => b - a)
				.slice(0, maxTenants);
			logger.info('requests refused by quotas', {
				durationMs: Math.round(now() - startedAt),
				...causes,
				tenants: Object.fromEntries(most),
				homes,
			});
			startedAt = now();
			causes = {exhausted: 0, unanswered: 0};
			tenants.clear();
			homes = [];
		},
		recordHome(tenant) {
			if (homes.length < maxTenants) {
				homes.push(tenant);
			}
		},
	};
}
