import type {GateLoad} from '../protocol/attempt.js';

/** What an upstream works on, by its own reports, against what it was sent. */
export type UpstreamWork = {
	/** When it last reported, monotonic ms. */
	readonly at: number;
	/** Unanswered requests that it neither runs nor has queued; never too many, but for answers on their way. */
	readonly lost: number;
	/** Whether it works on nothing. */
	readonly isIdle: boolean;
	/** Since when requests are missing, by every report that tells, monotonic ms. */
	readonly missingSince: number | undefined;
	/** Reports since then that show it. */
	readonly missingReports: number;
	/** Requests that it works on and that the gate does not know of. */
	readonly foreignRequests: number;
	/** Whether a report counts the request that it comes with; false until one has. */
	readonly includesOwnRequest: boolean;
};

/** A report with what the gate has sent. */
export type WorkReport = {
	readonly load: Pick<GateLoad, 'inFlight' | 'queued'>;
	/** Unanswered requests, without the one that the report comes with. */
	readonly unanswered: number;
	/** Those of them that the upstream has surely read. */
	readonly read: number;
};

/**
 * Compares an upstream's report of its load with what the gate has sent to it.
 *
 * Answers two loads: an upstream that was full and has dropped requests without
 * a word, which then lack in its reports; and one that still works on requests
 * of a gate that has started again, or whose callers have left, which are in
 * its report beyond what the gate has sent. A single report that lacks a request
 * shows little: the answer may be on its way.
 *
 * @param before - the work by the report before, undefined when there was none
 * @param report - see `WorkReport`
 * @param now - monotonic ms
 * @returns the work by this report
 * @example
 * computeUpstreamWork(undefined, {load, unanswered: 3, read: 3}, 0).lost;
 */
export function computeUpstreamWork(
	before: UpstreamWork | undefined,
	{load, unanswered, read}: WorkReport,
	now: number,
): UpstreamWork {
	const reported = load.inFlight + load.queued;
	const includesOwnRequest =
		before?.includesOwnRequest === true || reported > unanswered;
	const working = reported - (includesOwnRequest ? 1 : 0);
	const lost = Math.max(0, read - working);
	const isComplete = unanswered <= working;
	const {missingSince, missingReports = 0} = isComplete ? {} : (before ?? {});
	return {
		at: now,
		lost,
		isIdle: working <= 0,
		missingSince: lost > 0 ? (missingSince ?? now) : missingSince,
		missingReports: missingReports + (lost > 0 ? 1 : 0),
		foreignRequests: Math.max(0, reported - unanswered - 1),
		includesOwnRequest,
	};
}
