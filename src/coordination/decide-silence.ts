import type {UpstreamWork} from './compute-upstream-work.js';

/** What is known of a request that its upstream has not answered yet. */
export type SilenceInput = {
	/** Monotonic ms. */
	readonly now: number;
	/** When it was sent whole, monotonic ms. */
	readonly sentAt: number;
	/** Expected time of the request at the upstream, ms. */
	readonly expectedMs: number;
	/** Time that it had left at its sending in which an answer has its full value, ms. */
	readonly objectiveMs: number;
	/** Whether another upstream may run it as well. */
	readonly repeatable: boolean;
	/** What the upstream works on; undefined before its first report. */
	readonly work:
		| Pick<UpstreamWork, 'at' | 'isIdle' | 'missingSince' | 'missingReports'>
		| undefined;
	/** When the upstream was last asked for its load, monotonic ms. */
	readonly probedAt: number;
};

/** What is to be done about such a request. */
export type SilenceDecision =
	| 'wait'
	/** Ask the upstream for its load. */
	| 'probe'
	/** No answer will come. */
	| 'silent';

/** Part of the objective after which no answer is suspicious; another host then still has the rest. */
const suspectObjectiveRatio = 0.4;

/** Multiple of the expected time after which no answer is suspicious; few requests take as long. */
const suspectTimeFactor = 2;

/** Least time after which it is, ms: a turn of a busy node. */
const minSuspectMs = 30;

/** Time between two questions for an upstream's load, ms; each takes a slot of it for a moment. */
const probeIntervalMs = 1000;

/** Time within which an upstream has read what it was sent, ms: a turn of both processes and a handshake. */
export const readMarginMs = 10;

/** Age up to which a report tells of the requests that were sent before it, ms. */
const reportTrustMs = 1000;

/** Reports in a row that must lack a request, and their time, ms: answers on their way are missing in single ones. */
const minMissingReports = 5;
const minMissingMs = 100;

/** Tells whether the upstream's reports lack a request that was there all the while. */
function isMissing({now, sentAt, work}: SilenceInput): boolean {
	const {missingSince, missingReports = 0} = work ?? {};
	return (
		missingSince !== undefined &&
		sentAt + readMarginMs <= missingSince &&
		now - missingSince >= minMissingMs &&
		missingReports >= minMissingReports
	);
}

/** Tells whether a report tells of a request. */
function isReported({now, sentAt, work}: SilenceInput): boolean {
	return (
		work !== undefined &&
		work.at >= sentAt + readMarginMs &&
		work.at > now - reportTrustMs
	);
}

/**
 * Decides what to do about a request that its upstream has not answered.
 *
 * Answers the load of an upstream that is full and drops requests without a
 * word. Slow work is told from silence by what the upstream says that it works
 * on: with its answers to others, or asked for it when there are none. The
 * question takes a slot for a moment, so it comes only when the request takes
 * long by any measure, and is not put for one that can't go elsewhere.
 *
 * @param input - see `SilenceInput`
 * @returns the decision
 * @example
 * decideSilence({...input, sentAt: input.now}); // 'wait'
 */
export function decideSilence(input: SilenceInput): SilenceDecision {
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
	const isKnown = work?.isIdle === true || isMissing(input);
	return isKnown && unansweredMs >= suspectMs ? 'silent' : 'wait';
}
