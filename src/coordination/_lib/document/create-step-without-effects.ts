import type {DocumentState, DocumentStep} from '../../document-state.js';

/** Creates a step that sets the state and has no effects. */
export function createStepWithoutEffects(state: DocumentState): DocumentStep {
	return {state, effects: []};
}
