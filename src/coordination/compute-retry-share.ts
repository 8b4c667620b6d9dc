import type {RetryBudgetOptions} from './step-retry-budget.js';

/** Bounds on the retries of all nodes together. */
export type FleetRetryBounds = {
	/** Part of a service's requests that may reach a second upstream. */
	readonly ratio: number;
	/** Requests that may do so besides, in a window. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Part of the bounds that the nodes use, since repeated runs repeat their calls. */
const usedBoundsRatio = 0.6;

/**
 * Computes a node's part of the retries that all nodes may make together.
 *
 * Nodes don't talk about it: each takes its own requests' share of the ratio
 * and an equal part of the slack.
 *
 * @param bounds - bounds on all nodes together
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
