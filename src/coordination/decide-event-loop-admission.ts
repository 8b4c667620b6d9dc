/** What a node knows of itself when a request comes. */
export type EventLoopAdmissionInput = {
	/** How late the node's event loop runs, ms. */
	readonly lagMs: number;
	/** Rank of the request's route; 0 is the most urgent. */
	readonly priority: number;
};

/** Lag from which requests of the least urgent routes are refused, ms; each step up in urgency bears as much more. */
const lagStepMs = 40;

/** Ranks that are told apart. */
const priorityLevels = 4;

/**
 * Decides whether a node takes a caller's request in spite of its own load.
 *
 * Answers the load of a node whose processor is used up: each request that is
 * taken then delays all others, notices of clients that have left included, and
 * refusing one costs a tenth of forwarding it. The most urgent routes are
 * refused last.
 *
 * @param input - see `LoopAdmissionInput`
 * @returns whether the request is taken
 * @example
 * decideLoopAdmission({lagMs: 100, priority: 0}); // true
 */
export function decideEventLoopAdmission(
	input: EventLoopAdmissionInput,
): boolean {
	const {lagMs, priority} = input;
	return (
		lagMs <
		lagStepMs * (priorityLevels - Math.min(priorityLevels - 1, priority))
	);
}
