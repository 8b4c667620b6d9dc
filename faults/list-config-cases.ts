import type {FaultCase} from './fault-case.js';
import {
	faults,
	steps,
	type Fault,
	type Step,
	type Variant,
} from './_lib/config/config-simulation.js';
import {runConfigSimulation} from './_lib/config/run-config-simulation.js';

/** Options of `listConfigCases`. */
export type ConfigCaseOptions = {
	/** Cases with a single fault, with a pair, or both; default: both. */
	readonly kinds?: ReadonlyArray<'single' | 'pairs'>;
	/** Lists only every n-th case, for pairs; default: 1, all of them. */
	readonly everyNthPair?: number;
	/** Naive mechanisms that replace the product's; default: none. */
	readonly variant?: Variant;
};

function createCase(
	names: readonly Fault[],
	step: Step,
	seed: number,
	variant: Variant | undefined,
): FaultCase {
	return {
		area: 'config',
		faults: names,
		step,
		seed,
		run: () => runConfigSimulation({faults: names, step, seed, variant}),
	};
}

/**
 * Lists the cases of the configuration matrix: every fault at every step,
 * single and in pairs, including pairs of the same fault.
 *
 * @param options - see `ConfigCaseOptions`
 * @returns the cases; the seed of a case is its number in the full matrix
 * @example
 * runFaultCases(listConfigCases({kinds: ['single']}));
 */
export function listConfigCases(
	options: ConfigCaseOptions = {},
): readonly FaultCase[] {
	const {kinds = ['single', 'pairs'], everyNthPair = 1, variant} = options;
	const cases: FaultCase[] = [];
	let seed = 0;
	for (const [index, first] of faults.entries()) {
		for (const step of steps) {
			seed++;
			if (kinds.includes('single')) {
				cases.push(createCase([first], step, seed, variant));
			}
		}

		for (const second of faults.slice(index)) {
			for (const step of steps) {
				seed++;
				if (kinds.includes('pairs') && seed % everyNthPair === 0) {
					cases.push(createCase([first, second], step, seed, variant));
				}
			}
		}
	}

	return cases;
}
