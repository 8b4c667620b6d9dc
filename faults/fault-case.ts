/**
 * Type of one case of the fault matrix.
 */

/** One fault, or two together, at one step of the system's work. */
export type FaultCase = {
	readonly area: 'config' | 'requests' | 'members';
	/** Names of the faults, one or two. */
	readonly faults: readonly string[];
	/** Step at which they occur. */
	readonly step: string;
	readonly seed: number;
	/** Runs the case; returns what broke an invariant, empty when all held. */
	readonly run: () => readonly string[];
};

/** Result of one case. */
export type FaultResult = {
	readonly faultCase: FaultCase;
	readonly violations: readonly string[];
};
