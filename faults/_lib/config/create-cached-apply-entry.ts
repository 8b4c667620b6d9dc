import type {DeliveryRules} from '../../../src/coordination/_lib/delivery/delivery-context.js';
import {applyEntry} from '../../../src/state/apply-entry.js';

/**
 * Creates an `applyEntry` that works out each entry once for all the nodes of a
 * world. Only for worlds in which nobody changes an entry.
 *
 * @returns the function
 */
export function createCachedApplyEntry(): DeliveryRules['applyEntry'] {
	const known = new Map<string, ReturnType<typeof applyEntry>>();
	return (configuration, entry) => {
		const key = `${configuration.digest} ${entry.version} ${entry.digest}`;
		const result = known.get(key) ?? applyEntry(configuration, entry);
		known.set(key, result);
		return result;
	};
}
