/**
 * Types of the cases of the fault matrix and of their results.
 */

/** One or two faults with the steps at which they are applied. */
export type FaultCase = {
	readonly area: 'config' | 'requests' | 'members';
	/** Names of the faults, one or two. */
	readonly faults: readonly string[];
	/** Step at which they are applied; joined by `+` if several. */
	readonly step: string;
	readonly seed: number;
	/** Runs the case; returns one line for each violation of an invariant. */
	readonly run: () => readonly string[];
};

/** Result of one case. */
export type FaultResult = {
	readonly faultCase: FaultCase;
	readonly violations: readonly string[];
};
