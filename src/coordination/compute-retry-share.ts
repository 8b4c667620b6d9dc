import type {RetryBudgetOptions} from './step-retry-budget.js';

/** Bounds on the total retries of all nodes. */
export type FleetRetryBounds = {
	/** Ratio of a service's requests that may reach a second upstream. */
	readonly ratio: number;
	/** Additional requests per window that may do so. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Ratio of the bounds that the nodes use, since a request that runs again also repeats its nested calls. */
const usedBoundsRatio = 0.6;

/**
 * Computes a node's share of the retries that all nodes may make in total.
 *
 * Nodes do not coordinate: each applies the ratio to its own requests and takes
 * an equal part of the slack.
 *
 * @param bounds - bounds on the total of all nodes
 * @param members - number of nodes
 * @returns the node's own bounds
 * @example
 * computeRetryShare({ratio: 0.2, slack: 50, windowMs: 10_000}, 10).floor; // 3
 */
export function computeRetryShare(
	bounds: FleetRetryBounds,
	members: number,
): RetryBudgetOptions {
	return {
		share: usedBoundsRatio * bounds.ratio,
		floor: (usedBoundsRatio * bounds.slack) / Math.max(1, members),
		windowMs: bounds.windowMs,
	};
}
