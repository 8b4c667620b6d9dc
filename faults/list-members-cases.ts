import type {stepMembers} from '../src/coordination/step-members.js';
import {membersFaults} from './_lib/members/members-faults.js';
import {membersSteps, runMembersCase} from './_lib/members/run-members-case.js';
import type {FaultCase} from './fault-case.js';

/** Options of `listMembersCases`. */
export type MembersCasesOptions = {
	/** Step function of the nodes; default: the product's. */
	readonly step?: typeof stepMembers;
	/** Seeds of the cases with a single fault. */
	readonly seeds?: readonly number[];
	/** Whether each pair is applied at all steps, or at one step in rotation. */
	readonly coversAllSteps?: boolean;
};

const hourMs = 3_600_000;
const pairSeed = 11;

function createCase(
	faults: FaultCase['faults'],
	step: string,
	seed: number,
	run: FaultCase['run'],
): FaultCase {
	return {area: 'members', faults, step, seed, run};
}

/**
 * Lists the cases of the membership matrix: each fault at each step, then each
 * pair of faults.
 *
 * @param options - see `MembersCasesOptions`
 * @returns the cases
 * @example
 * runFaultCases(listMembersCases({seeds: [1]}));
 */
export function listMembersCases(
	options: MembersCasesOptions = {},
): readonly FaultCase[] {
	const {step: stepNode, seeds = [1, 2], coversAllSteps = true} = options;
	const singles = membersFaults.flatMap((fault) =>
		membersSteps.flatMap((step) =>
			seeds.map((seed) =>
				createCase([fault], step, seed, () =>
					runMembersCase([fault], step, seed, {
						step: stepNode,
						cutMs: step === 'steady-state' ? hourMs : undefined,
					}),
				),
			),
		),
	);
	const pairs = membersFaults.flatMap((first, index) =>
		membersFaults.slice(index).map((second) => [first, second] as const),
	);
	const paired = pairs.flatMap((faults, index) =>
		membersSteps
			.filter(
				(_, stepIndex) =>
					coversAllSteps || stepIndex === index % membersSteps.length,
			)
			.map((step) =>
				createCase(faults, step, pairSeed, () =>
					runMembersCase(faults, step, pairSeed, {step: stepNode}),
				),
			),
	);
	return [...singles, ...paired];
}
