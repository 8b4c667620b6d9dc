/** A report of how long work takes on an upstream's host. */
export type WorkRatio = {
	/** Time of work relative to its usual time. */
	readonly ratio: number;
	/** When it was reported, monotonic ms. */
	readonly at: number;
};

/** A shared host changes its speed several times a second, so that an old report says little. */
const halfLifeMs = 500;

/**
 * Reads how long work takes on an upstream's host now, relative to its usual
 * time. The last report is trusted less the older it is.
 *
 * Load pattern: upstreams that share their hosts with other programs and change
 * their speed by a factor of two or more within seconds. The mean of measured
 * times follows such a change only after about ten responses.
 *
 * @param report - the last report; undefined before the first one
 * @param now - monotonic ms
 * @returns the ratio; 1 without a report
 * @example
 * readWorkRatio({ratio: 1.5, at: 0}, 0); // 1.5
 */
export function readWorkRatio(
	report: WorkRatio | undefined,
	now: number,
): number {
	return report
		? 1 + (report.ratio - 1) * 2 ** ((report.at - now) / halfLifeMs)
		: 1;
}
