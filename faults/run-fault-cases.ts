import type {FaultCase, FaultResult} from './fault-case.js';

/**
 * Runs cases of the fault matrix in sequence.
 *
 * @param cases - the cases
 * @returns a result for each case; an exception counts as a violation
 * @example
 * runFaultCases(listConfigCases());
 */
export function runFaultCases(
	cases: readonly FaultCase[],
): readonly FaultResult[] {
	return cases.map((faultCase) => {
		try {
			return {faultCase, violations: faultCase.run()};
		} catch (error) {
			return {faultCase, violations: [`exception: ${String(error)}`]};
		}
	});
}
