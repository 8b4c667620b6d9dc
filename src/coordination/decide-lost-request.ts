import type {UpstreamWork} from './compute-upstream-work.js';

/** State of a request that its upstream has not answered yet. */
export type LostRequestInput = {
	/** Monotonic ms. */
	readonly now: number;
	/** When it was sent completely, monotonic ms. */
	readonly sentAt: number;
	/** Expected time of the request at the upstream, ms. */
	readonly expectedMs: number;
	/** Objective that was left when it was sent: time in which an answer has its full value, ms. */
	readonly objectiveMs: number;
	/** Whether another upstream may also run it. */
	readonly repeatable: boolean;
	/** Work in progress at the upstream; undefined before its first report. */
	readonly work:
		| Pick<UpstreamWork, 'at' | 'isIdle' | 'missingSince' | 'missingReports'>
		| undefined;
	/** When the upstream was last probed for its load, monotonic ms. */
	readonly probedAt: number;
};

/** Action for an unanswered request. */
export type LostRequestDecision =
	| 'wait'
	/** Probe the upstream for its load. */
	| 'probe'
	/** The request is lost: no answer is to be expected. */
	| 'silent';

/** Ratio of the objective after which a missing answer is suspicious; the rest is left for another host. */
const suspectObjectiveRatio = 0.4;

/** Multiple of the expected time after which a missing answer is suspicious; few requests take as long. */
const suspectTimeFactor = 2;

/** Shortest time after which a missing answer is suspicious, ms: one event loop turn of a busy node. */
const minSuspectMs = 30;

/** Interval between two load probes of an upstream, ms; each probe briefly occupies a slot. */
const probeIntervalMs = 1000;

/** Time within which an upstream has read a request, ms: an event loop turn of both processes and a handshake. */
export const readMarginMs = 10;

/** Age up to which a report is used for the requests sent before it, ms. */
const reportTrustMs = 1000;

/** Number of consecutive reports that must lack a request, and their shortest duration, ms: a single report may lack a request whose answer is in transit. */
const minMissingReports = 5;
const minMissingMs = 100;

/** Tells whether reports have lacked requests for long enough, starting after this request was read. */
function isMissing({now, sentAt, work}: LostRequestInput): boolean {
	const {missingSince, missingReports = 0} = work ?? {};
	return (
		missingSince !== undefined &&
		sentAt + readMarginMs <= missingSince &&
		now - missingSince >= minMissingMs &&
		missingReports >= minMissingReports
	);
}

/** Tells whether a recent report covers a request. */
function isReported({now, sentAt, work}: LostRequestInput): boolean {
	return (
		work !== undefined &&
		work.at >= sentAt + readMarginMs &&
		work.at > now - reportTrustMs
	);
}

/**
 * Decides how to handle a request that its upstream has not answered.
 *
 * Load pattern: an upstream that is full and drops requests without a response.
 * A slow request is distinguished from a dropped one by the load that the
 * upstream reports with its other answers, or in response to a probe when there
 * are none. A probe briefly occupies a slot, so it is sent only when the request
 * exceeds all time thresholds, and never for a request that may not run
 * elsewhere. On a node whose event loop lags, a report counts only for the
 * requests sent before the earliest time at which it can have been written.
 *
 * @param input - see `LostRequestInput`
 * @returns the decision
 * @example
 * decideLostRequest({...input, sentAt: input.now}); // 'wait'
 */
export function decideLostRequest(
	input: LostRequestInput,
): LostRequestDecision {
	const {now, sentAt, expectedMs, objectiveMs, repeatable, work} = input;
	const unansweredMs = now - sentAt;
	const objectiveThresholdMs = objectiveMs * suspectObjectiveRatio;
	const expectedThresholdMs = expectedMs * suspectTimeFactor;
	if (!isReported(input)) {
		const isOverdue =
			repeatable &&
			unansweredMs >=
				Math.max(minSuspectMs, objectiveThresholdMs, expectedThresholdMs) &&
			now - input.probedAt >= probeIntervalMs;
		return isOverdue ? 'probe' : 'wait';
	}

	const suspectMs = Math.max(
		minSuspectMs,
		Math.min(objectiveThresholdMs, expectedThresholdMs),
	);
	const isLost = work?.isIdle === true || isMissing(input);
	return isLost && unansweredMs >= suspectMs ? 'silent' : 'wait';
}
