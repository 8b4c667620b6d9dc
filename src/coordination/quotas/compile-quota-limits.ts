import type {QuotaSettings} from '../../protocol/mesh-settings.js';
import type {DocumentTenant} from '../../protocol/routing-document.js';
import type {QuotaLimit} from './quota-state.js';

/**
 * Compiles the limits of tenants; a tenant without a rate has none.
 *
 * @param tenants - tenants of a document
 * @param settings - tolerances
 * @returns the limits by tenant
 * @example
 * compileQuotaLimits([{name: 'a', keys: [], ratePerSecond: 3}], settings).get('a')?.burst; // 0
 */
export function compileQuotaLimits(
	tenants: readonly DocumentTenant[],
	settings: QuotaSettings,
): ReadonlyMap<string, QuotaLimit> {
	const limits = new Map<string, QuotaLimit>();
	for (const {name, ratePerSecond = 0, burst = 0} of tenants) {
		if (ratePerSecond > 0) {
			limits.set(name, {...settings, ratePerSecond, burst});
		}
	}

	return limits;
}
