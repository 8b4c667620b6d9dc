import type {CallBalance} from './step-call-balance.js';

/** Ratio of begun to useful runs while calls fail; above 1, so that the share follows a rise of the capacity. */
const surplusRatio = 1.1;

/** Time without a strained call after which the surplus grows, ms. */
const quietMs = 400;

/** Growth of the surplus in a second without a strained call; free capacity is noticed within that time. */
const growthPerSecond = 1;

const msPerSecond = 1000;

/**
 * Computes the share of the runs that make calls that a node should begin, by
 * adaptive throttling: as many as their calls are served, and a few more.
 *
 * The formula is that of client-side throttling with the probability of refusal
 * max(0, (wanted - ratio * useful) / (wanted + 1)), where the useful runs are
 * those begun times the share of calls that were served. The one in the
 * denominator keeps about one run per time constant going as a probe.
 *
 * Load pattern: a called service at 1.3 times its capacity, while the service that
 * calls it has free slots and would begin every run.
 *
 * @param balance - counts at the node; undefined when there are none
 * @param now - monotonic ms
 * @returns the share, 0 to 1
 * @example
 * computeRunShare(undefined, 0); // 1
 */
export function computeRunShare(
	balance: CallBalance | undefined,
	now: number,
): number {
	if (!balance || balance.strainedAt === Number.NEGATIVE_INFINITY) {
		return 1;
	}

	let wanted = 0;
	for (const count of balance.wanted.values()) {
		wanted += count;
	}

	const servedShare = balance.calls < 1 ? 1 : balance.served / balance.calls;
	const sinceMs = Math.max(0, now - balance.strainedAt - quietMs);
	const ratio = surplusRatio + (growthPerSecond * sinceMs) / msPerSecond;
	const useful = balance.begun * servedShare;
	return 1 - Math.max(0, (wanted - ratio * useful) / (wanted + 1));
}
