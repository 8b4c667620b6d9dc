import type {DocumentState, DocumentStep} from '../../document-state.js';

/** Gives the step that asks for nothing. */
export function createStepWithoutEffects(state: DocumentState): DocumentStep {
	return {state, effects: []};
}
