import type {StoredRollout} from '../../protocol/rollout.js';
import type {ServiceVersions} from './step-running-versions.js';

/** Why an order has no effect. */
export type OrderProblem =
	| 'no duration'
	| 'unknown service'
	| 'already runs'
	| 'superseded by a newer order for the service';

/** What of an order decides whether it can be carried out. */
export type OpenOrder = Pick<
	StoredRollout,
	'service' | 'target' | 'durationMs' | 'revision' | 'status'
>;

/**
 * Finds why an order that is not final cannot be carried out.
 *
 * @param order - the order, with the revision at which it was first seen, as writing its status raises it
 * @param orders - all orders that are not final
 * @param versions - versions of the services
 * @returns the problem; undefined if the order can be carried out
 * @example
 * findOrderProblem({...order, durationMs: -1}, [], versions); // 'no duration'
 */
export function findOrderProblem(
	order: OpenOrder,
	orders: readonly OpenOrder[],
	versions: ReadonlyMap<string, ServiceVersions>,
): OrderProblem | undefined {
	const {service, target, durationMs = 0, status} = order;
	if (durationMs <= 0) {
		return 'no duration';
	}

	const known = versions.get(service);
	if (!known) {
		return 'unknown service';
	}

	if (
		orders.some(
			(other) => other.service === service && other.revision > order.revision,
		)
	) {
		return 'superseded by a newer order for the service';
	}

	// An order that a leader has started is for a version that did not run.
	const isStarted = status?.target === target && status.state === 'active';
	return known.running?.version === target && !isStarted
		? 'already runs'
		: undefined;
}
