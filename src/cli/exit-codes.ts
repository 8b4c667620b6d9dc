/**
 * Exit codes of the command line; docs/OPERATIONS.md says what to do on each.
 */
export const exitCodes = {
	/** Done: accepted, in force, valid, or stopped gracefully. */
	ok: 0,
	/** The program failed in a way that has no code of its own. */
	failed: 1,
	/** The command line, a settings file or a file given to it is wrong. */
	usage: 2,
	/** The node refused; nothing has changed. */
	refused: 3,
	/** The node or the platform could not be reached; nothing has changed. */
	unavailable: 4,
	/** Whether it took effect is not known; ask again with the same id. */
	unknown: 5,
	/** Accepted but not in force everywhere, or not within the wait. */
	pending: 6,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
