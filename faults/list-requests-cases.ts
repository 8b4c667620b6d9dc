import {requestFaults, type RequestFault} from './_lib/requests/apply-fault.js';
import type {Mechanisms} from './_lib/requests/mechanisms.js';
import {
	runRequestCase,
	type FaultAtStep,
} from './_lib/requests/run-request-case.js';
import {steps} from './_lib/requests/simulation.js';
import type {FaultCase} from './fault-case.js';

/** Options of `listRequestsCases`. */
export type RequestsCasesOptions = {
	/** Number of seeds for each single fault; default: 8. */
	readonly singleSeeds?: number;
	/** Number of seeds for each pair of faults; default: 1. */
	readonly pairSeeds?: number;
	/** Decision functions to run; default: those of the product. */
	readonly mechanisms?: Mechanisms;
};

function listFaultsAtSteps(): readonly FaultAtStep[] {
	return requestFaults.flatMap((fault: RequestFault) =>
		steps.map((step) => ({fault, step})),
	);
}

/**
 * Lists the cases of the request matrix: each fault at each step of a request,
 * single and in pairs, for requests that may be repeated and that may not.
 *
 * @param options - see `RequestsCasesOptions`
 * @returns the cases
 * @example
 * runFaultCases(listRequestsCases());
 */
export function listRequestsCases(
	options: RequestsCasesOptions = {},
): readonly FaultCase[] {
	const {singleSeeds = 8, pairSeeds = 1, mechanisms} = options;
	const faultsAtSteps = listFaultsAtSteps();
	const singles = faultsAtSteps.map((one) => [one]);
	const pairs = faultsAtSteps.flatMap((first, index) =>
		faultsAtSteps.slice(index + 1).map((second) => [first, second]),
	);
	function toCases(
		faults: readonly FaultAtStep[],
		seeds: number,
	): readonly FaultCase[] {
		return Array.from({length: seeds}, (_, index) => index + 1).flatMap(
			(seed) =>
				[false, true].map((repeatable) => ({
					area: 'requests',
					faults: faults.map(({fault}) => fault),
					step: faults.map(({step}) => step).join('+'),
					seed,
					run: () => runRequestCase({seed, repeatable, faults, mechanisms}),
				})),
		);
	}

	return [
		...singles.flatMap((faults) => toCases(faults, singleSeeds)),
		...pairs.flatMap((faults) => toCases(faults, pairSeeds)),
	];
}
