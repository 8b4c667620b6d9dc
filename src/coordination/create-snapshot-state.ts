import type {SnapshotState} from './snapshot-state.js';

/**
 * Creates the state of an idle snapshot writer.
 *
 * @returns the initial state
 * @example
 * createSnapshotState().phase.kind; // 'idle'
 */
export function createSnapshotState(): SnapshotState {
	return {phase: {kind: 'idle'}, callId: 0};
}
