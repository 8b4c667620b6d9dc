import type {Configuration} from '../protocol/configuration.js';
import type {CommitState} from './commit-state.js';

/**
 * Creates the state of an idle commit state machine.
 *
 * @param base - the configuration to start from
 * @returns the initial state
 * @example
 * createCommitState(createConfiguration()).phase.kind; // 'idle'
 */
export function createCommitState(base: Configuration): CommitState {
	return {
		base,
		snapshotVersion: 0,
		waiting: [],
		group: [],
		tries: 0,
		isUncertain: false,
		phase: {kind: 'idle'},
		callId: 0,
		refusals: new Map(),
	};
}
