import type {GateLoad} from '../protocol/attempt.js';

/** Work in progress at an upstream, from its load reports compared with the requests sent to it. */
export type UpstreamWork = {
	/** Earliest time at which it can have written its last report, monotonic ms. */
	readonly at: number;
	/** Unanswered requests that it neither runs nor has queued, without the suspected ones; a lower bound, except for answers in transit. */
	readonly lost: number;
	/** Whether it has no work in progress. */
	readonly isIdle: boolean;
	/** Since when all conclusive reports show missing requests, monotonic ms. */
	readonly missingSince: number | undefined;
	/** Number of reports since then that show it. */
	readonly missingReports: number;
	/** Requests in progress that the gate does not know of. */
	readonly foreignRequests: number;
	/** Whether a report includes the request that it is returned with; false until one has. */
	readonly includesOwnRequest: boolean;
};

/** A load report and the requests that the gate has sent. */
export type WorkReport = {
	readonly load: Pick<GateLoad, 'inFlight' | 'queued'>;
	/** Unanswered requests, excluding the one that the report is returned with. */
	readonly unanswered: number;
	/** Number of those that were already found missing from reports; 0 when absent. */
	readonly suspected?: number;
	/** Number of the unanswered ones, without the suspected ones, that the upstream has certainly read. */
	readonly read: number;
	/** Longest time for which the report may have waited to be read, ms; 0 when absent. */
	readonly waitedMs?: number;
	/** Whether it is returned with the refusal of a request, which it need not include; false when absent. */
	readonly isRefusal?: boolean;
};

/**
 * Compares an upstream's load report with the requests that the gate has sent.
 *
 * Covers two load patterns: an upstream that was full and has dropped requests
 * without a response, which are then missing from its reports; and an upstream
 * that still runs requests sent before its gate restarted, or whose callers have
 * disconnected, so that it reports more requests than the gate has sent. A
 * single report that lacks a request is weak evidence: the answer may be in
 * transit.
 *
 * A suspected request is no longer counted as missing, as it would hide a later
 * one. If its upstream runs it after all, reports hide as many lost requests until
 * it ends.
 *
 * @param before - the work after the previous report, undefined when there was none
 * @param report - see `WorkReport`
 * @param now - monotonic ms
 * @returns the work after this report
 * @example
 * computeUpstreamWork(undefined, {load, unanswered: 3, read: 3}, 0).lost;
 */
export function computeUpstreamWork(
	before: UpstreamWork | undefined,
	report: WorkReport,
	now: number,
): UpstreamWork {
	const {load, unanswered, suspected = 0, read} = report;
	const {waitedMs = 0, isRefusal = false} = report;
	const reported = load.inFlight + load.queued;
	const includesOwnRequest =
		before?.includesOwnRequest === true ||
		(!isRefusal && reported > unanswered);
	const working = reported - (includesOwnRequest && !isRefusal ? 1 : 0);
	const lost = Math.max(0, read - working);
	const isComplete = unanswered - suspected <= working;
	const {missingSince, missingReports = 0} = isComplete ? {} : (before ?? {});
	return {
		at: now - waitedMs,
		lost,
		isIdle: working <= 0,
		missingSince: lost > 0 ? (missingSince ?? now) : missingSince,
		missingReports: missingReports + (lost > 0 ? 1 : 0),
		foreignRequests: Math.max(0, reported - unanswered - 1),
		includesOwnRequest,
	};
}
