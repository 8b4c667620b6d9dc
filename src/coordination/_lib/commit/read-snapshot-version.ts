import {snapshotHeadSchema} from '../../../protocol/configuration.js';
import type {PlatformOutcome} from '../../../protocol/platform.js';

/**
 * Reads the version of the newest complete snapshot from the snapshot head.
 *
 * @param outcome - outcome of reading the snapshot head
 * @returns the version, 0 if there is no snapshot, undefined if the head is not readable
 */
export function readSnapshotVersion(
	outcome: PlatformOutcome,
): number | undefined {
	if (outcome.kind === 'absent') {
		return 0;
	}

	if (outcome.kind !== 'found') {
		return undefined;
	}

	return snapshotHeadSchema.safeParse(outcome.object.value).data?.version;
}
