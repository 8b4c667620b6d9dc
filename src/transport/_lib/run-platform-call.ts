import type {PlatformCall, PlatformOutcome} from '../../protocol/platform.js';
import type {PlatformClient} from '../platform-client.js';

/**
 * Runs a platform call that a state machine has requested.
 *
 * @param platform - client of the platform
 * @param call - the call
 * @returns its outcome; a failure of the platform is an outcome, not a rejection
 */
export async function runPlatformCall(
	platform: PlatformClient,
	call: PlatformCall,
): Promise<PlatformOutcome> {
	switch (call.kind) {
		case 'read': {
			return platform.readObject(call.key);
		}

		case 'write': {
			return platform.writeObject(call.key, call.value, call.condition);
		}

		case 'delete': {
			return platform.deleteObject(call.key, call.version);
		}

		case 'list': {
			return platform.listObjects(call.prefix, call.after, call.limit);
		}

		case 'watch': {
			return platform.watchObjects(call.prefix, call.after, call.waitMs);
		}
	}
}
