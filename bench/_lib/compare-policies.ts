import type {Policy} from './create-simulated-caller.js';
import {
	simulatePolicy,
	type PolicyResult,
	type Scenario,
} from './simulate-policy.js';

/** Mean of a figure over the seeds, with a 95 % confidence interval. */
export type Estimate = {readonly mean: number; readonly plusMinus: number};

/** What one policy came to in one scenario. */
export type PolicyComparison = {
	readonly scenario: string;
	readonly policy: string;
	readonly figures: Readonly<Record<keyof PolicyResult, Estimate>>;
};

const policies: readonly Policy[] = [
	{name: 'naive', pick: 'random', hasBudget: false, hasAdmission: false},
	{name: 'random', pick: 'random', hasBudget: false, hasAdmission: true},
	{
		name: 'random+budget',
		pick: 'random',
		hasBudget: true,
		hasAdmission: true,
	},
	{
		name: 'two-choices',
		pick: 'two-choices',
		hasBudget: false,
		hasAdmission: true,
	},
	{
		name: 'two-choices+budget',
		pick: 'two-choices',
		hasBudget: true,
		hasAdmission: true,
	},
	{
		name: 'chosen without budget',
		pick: 'chosen',
		hasBudget: false,
		hasAdmission: true,
	},
	{name: 'chosen', pick: 'chosen', hasBudget: true, hasAdmission: true},
];

/** Factors of Student's distribution, 95 %, by number of samples. */
const studentFactors: ReadonlyMap<number, number> = new Map([
	[2, 12.71],
	[3, 4.3],
	[5, 2.78],
	[8, 2.36],
]);

function estimate(values: readonly number[]): Estimate {
	const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
	const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
	const deviation = Math.sqrt(squares / Math.max(1, values.length - 1));
	const factor = studentFactors.get(values.length) ?? 2;
	return {mean, plusMinus: (factor * deviation) / Math.sqrt(values.length)};
}

function listScenarios(seconds: number): readonly Scenario[] {
	return [
		{name: 'overload', share: 3, oneHost: 'healthy', seconds},
		{name: 'slow', share: 0.6, oneHost: 'slow', seconds},
		{name: 'lying', share: 0.6, oneHost: 'lying', seconds},
		{name: 'flapping', share: 0.6, oneHost: 'flapping', seconds},
	];
}

/**
 * Compares the policies side by side in every scenario, over several seeds.
 *
 * @param seeds - the seeds, the same for each policy
 * @param seconds - virtual seconds of load
 * @returns estimates for each scenario and policy
 * @example
 * comparePolicies([1, 2, 3], 5).length; // 28
 */
export function comparePolicies(
	seeds: readonly number[],
	seconds: number,
): readonly PolicyComparison[] {
	return listScenarios(seconds).flatMap((scenario) =>
		policies.map((policy) => {
			const runs = seeds.map((seed) => simulatePolicy(policy, scenario, seed));
			return {
				scenario: scenario.name,
				policy: policy.name,
				figures: {
					inTime: estimate(runs.map(({inTime}) => inTime)),
					p99Ms: estimate(runs.map(({p99Ms}) => p99Ms)),
					wasted: estimate(runs.map(({wasted}) => wasted)),
					runsPerRequest: estimate(
						runs.map(({runsPerRequest}) => runsPerRequest),
					),
				},
			};
		}),
	);
}
