import type {OrderProblem} from '../../coordination/rollouts/find-order-problem.js';
import type {StoredRollout} from '../../protocol/rollout.js';
import type {Logger} from '../create-logger.js';

/** Logs why an order cannot be used; undefined when it can. */
export type OrderProblemLog = (
	order: Pick<StoredRollout, 'name' | 'service' | 'target'>,
	problem: OrderProblem | undefined,
) => void;

/**
 * Creates a log of the orders for roll-outs that cannot be used, with one line
 * for each change of the reason.
 *
 * @param logger - where the lines go
 * @returns the log
 */
export function createOrderProblemLog(
	logger: Pick<Logger, 'warn'>,
): OrderProblemLog {
	const problems = new Map<string, OrderProblem>();
	return ({name, service, target}, problem) => {
		if (problem === undefined) {
			problems.delete(name);
		} else if (problems.get(name) !== problem) {
			problems.set(name, problem);
			logger.warn('order for a roll-out not usable', {
				order: name,
				service,
				version: target,
				reason: problem,
			});
		}
	};
}
