import {snapshotHeadSchema} from '../../../protocol/configuration.js';
import type {PlatformOutcome} from '../../../protocol/platform.js';

/**
 * Reads the version of the newest complete snapshot from a read's outcome.
 *
 * @param outcome - outcome of reading the snapshot head
 * @returns the version, 0 when there is none, undefined when not readable
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
