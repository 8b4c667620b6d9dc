import type {CompiledRoute} from '../../protocol/request.js';

/** Properties of a request on which its admission depends. */
export type AdmissionClassInput = {
	/** Time left until the objective, ms. */
	readonly leftMs: number;
	readonly isNested: boolean;
};

/**
 * Returns the admission class of a request: requests of the same route, with more
 * or less than half of the objective left, are admitted alike, and so are nested
 * calls.
 *
 * @param route - the request's route
 * @param input - see `AdmissionClassInput`
 * @returns the name of the class
 */
export function formatAdmissionClass(
	{name, objectiveMs = 0}: CompiledRoute,
	{leftMs, isNested}: AdmissionClassInput,
): string {
	if (isNested) {
		return `${name} nested`;
	}

	return leftMs < objectiveMs / 2 ? `${name} aged` : name;
}
