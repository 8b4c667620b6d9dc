import type {PlatformCall} from '../../../src/protocol/platform.js';
import type {Step} from './config-simulation.js';

/**
 * Finds the step that a platform call of a state machine belongs to.
 *
 * @param machine - the state machine that makes the call
 * @param call - the call
 * @returns the step, or undefined for a call that belongs to none
 */
export function findStep(
	machine: 'commit' | 'snapshot' | 'delivery',
	call: PlatformCall,
): Step | undefined {
	switch (call.kind) {
		case 'write': {
			const stepsByMachine = {
				commit: 'create',
				snapshot: 'snapshot',
				delivery: 'status-write',
			} as const;
			return stepsByMachine[machine];
		}

		case 'delete': {
			return 'snapshot-deletion';
		}

		case 'list':
		case 'watch':
		case 'read': {
			return machine === 'delivery' ? 'root-read' : undefined;
		}
	}
}
