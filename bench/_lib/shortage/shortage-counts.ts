/**
 * What is counted while `simulateShortage` runs.
 */

/** Outcomes of the requests of a class. */
export type ClassCounts = {
	requests: number;
	/** Answered within the objective. */
	served: number;
	/** Answered after it. */
	late: number;
	/** Refused to the end. */
	refused: number;
	failed: number;
	/** Runs at an upstream. */
	runs: number;
	/** Runs that ended since a call of theirs failed. */
	lostRuns: number;
};

/** Counts of a run. */
export type ShortageCounts = {
	readonly byClass: ReadonlyMap<string, ClassCounts>;
	tries: number;
	refusedTries: number;
	/** Refused tries by reason. */
	readonly refusedByReason: Map<string, number>;
	/** Tries that came after the delay that the client was told. */
	toldTries: number;
	/** Such tries that were refused again. */
	toldRefused: number;
	/** Tries that their clients gave up unread. */
	unread: number;
	/** Requests that an upstream has run. */
	run: number;
	/** Requests of which over half of the objective was gone before. */
	runLate: number;
};
