import type {
	MembersEffect,
	MembersState,
	MembersStep,
} from '../../members-state.js';

type Action = (state: MembersState) => MembersStep;

/** Runs actions in order and collects their effects. */
export function runActions(
	state: MembersState,
	actions: readonly Action[],
): MembersStep {
	const effects: MembersEffect[] = [];
	let next = state;
	for (const action of actions) {
		const step = action(next);
		next = step.state;
		effects.push(...step.effects);
	}

	return {state: next, effects};
}
