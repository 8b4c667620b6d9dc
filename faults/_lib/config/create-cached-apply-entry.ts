import type {DeliveryRules} from '../../../src/coordination/_lib/delivery/delivery-context.js';
import {applyEntry} from '../../../src/state/apply-entry.js';

/**
 * Creates an `applyEntry` that computes each result once for all nodes of a
 * simulation. Valid only if no node changes an entry.
 *
 * @returns the cached function
 */
export function createCachedApplyEntry(): DeliveryRules['applyEntry'] {
	const results = new Map<string, ReturnType<typeof applyEntry>>();
	return (configuration, entry) => {
		const key = `${configuration.digest} ${entry.version} ${entry.digest}`;
		const result = results.get(key) ?? applyEntry(configuration, entry);
		results.set(key, result);
		return result;
	};
}
