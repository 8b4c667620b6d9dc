import type {PlatformCall} from '../../../src/protocol/platform.js';
import type {Step} from './config-simulation.js';

/**
 * Finds the step that a platform call of one of the machines belongs to.
 *
 * @param machine - the machine that makes the call
 * @param call - the call
 * @returns the step, or undefined for a call that is none
 */
export function findStep(
	machine: 'commit' | 'snapshot' | 'delivery',
	call: PlatformCall,
): Step | undefined {
	switch (call.kind) {
		case 'write': {
			const bySource = {
				commit: 'create',
				snapshot: 'snapshot',
				delivery: 'status-write',
			} as const;
			return bySource[machine];
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
