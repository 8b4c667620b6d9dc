/** What is known of a request that its upstream has not answered yet. */
export type SilenceInput = {
	/** Time since it was sent whole, ms. */
	readonly unansweredMs: number;
	/** Expected time of the request at the upstream, ms. */
	readonly expectedMs: number;
	/** Time that it had left at its sending in which an answer has its full value, ms. */
	readonly objectiveMs: number;
	/**
	 * Requests that the upstream has lost by a report since; undefined without a
	 * report.
	 */
	readonly lost: number | undefined;
	/** Time since the upstream was last asked for its load, ms. */
	readonly sinceProbeMs: number;
	/** Whether another upstream may run it as well. */
	readonly repeatable: boolean;
};

/** What is to be done about such a request. */
export type SilenceDecision =
	| 'wait'
	/** Ask the upstream for its load. */
	| 'probe'
	/** No answer will come. */
	| 'silent';

/** Part of the objective after which no answer is suspicious; another host then still has the rest. */
const suspectPart = 0.4;

/** Multiple of the expected time after which no answer is suspicious; few requests take as long. */
const suspectFactor = 2;

/** Least time after which it is, ms: a turn of a busy node. */
const minSuspectMs = 30;

/** Time between two questions for an upstream's load, ms; each takes a slot of it for a moment. */
const probeIntervalMs = 1000;

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
 * decideSilence({...input, unansweredMs: 0}); // 'wait'
 */
export function decideSilence(input: SilenceInput): SilenceDecision {
	const {unansweredMs, expectedMs, objectiveMs, lost, sinceProbeMs} = input;
	const partMs = objectiveMs * suspectPart;
	const timesMs = expectedMs * suspectFactor;
	if (lost === undefined) {
		const isOverdue =
			input.repeatable &&
			unansweredMs >= Math.max(minSuspectMs, partMs, timesMs) &&
			sinceProbeMs >= probeIntervalMs;
		return isOverdue ? 'probe' : 'wait';
	}

	const suspectMs = Math.max(minSuspectMs, Math.min(partMs, timesMs));
	return lost > 0 && unansweredMs >= suspectMs ? 'silent' : 'wait';
}
