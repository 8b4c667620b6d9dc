/**
 * Exit codes of the command line; docs/OPERATIONS.md describes how to respond to each.
 */
export const exitCodes = {
	/** Done: accepted, in force, valid, or stopped gracefully. */
	ok: 0,
	/** Failed for a reason without a specific exit code. */
	failed: 1,
	/** The command line, a settings file or an input file is invalid. */
	usage: 2,
	/** The node refused; nothing has changed. */
	refused: 3,
	/** The node or the platform could not be reached; nothing has changed. */
	unavailable: 4,
	/** Not known whether the submission took effect; submit again with the same id. */
	unknown: 5,
	/** Accepted but not in force everywhere, or not within the time waited. */
	pending: 6,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
