import type {DocumentTenant} from '../protocol/routing-document.js';

/**
 * Compiles tenants into a map by API key. A key that several tenants hold
 * belongs to none, since a request with it could be counted for the wrong one.
 *
 * @param tenants - tenants of a document
 * @returns the tenants by key
 * @example
 * compileTenants([{name: 'a', keys: ['k']}]).get('k')?.name; // 'a'
 */
export function compileTenants(
	tenants: readonly DocumentTenant[],
): ReadonlyMap<string, DocumentTenant> {
	const byKey = new Map<string, DocumentTenant>();
	const shared = new Set<string>();
	for (const tenant of tenants) {
		for (const key of tenant.keys) {
			if ((byKey.get(key) ?? tenant) !== tenant) {
				shared.add(key);
			}

			byKey.set(key, tenant);
		}
	}

	for (const key of shared) {
		byKey.delete(key);
	}

	return byKey;
}
