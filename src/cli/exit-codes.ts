/**
 * Exit codes of the command line.
 */
export const exitCodes = {
	ok: 0,
	failed: 1,
	usage: 2,
	refused: 3,
	unavailable: 4,
	unknown: 5,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
