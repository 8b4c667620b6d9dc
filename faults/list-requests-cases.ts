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
	/** Seeds for each single fault; 8 when absent. */
	readonly singleSeeds?: number;
	/** Seeds for each pair of faults; 1 when absent. */
	readonly pairSeeds?: number;
	/** Decisions to drive; those of the product when absent. */
	readonly mechanisms?: Mechanisms;
};

function listPlaced(): readonly FaultAtStep[] {
	return requestFaults.flatMap((fault: RequestFault) =>
		steps.map((step) => ({fault, step})),
	);
}

/**
 * Lists the cases of the fault matrix of requests: each fault at each step of a
 * request, alone and in pairs, for requests that may be repeated and not.
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
	const placed = listPlaced();
	const singles = placed.map((one) => [one]);
	const pairs = placed.flatMap((first, index) =>
		placed.slice(index + 1).map((second) => [first, second]),
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
