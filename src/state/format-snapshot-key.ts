/** Prefix of the keys of snapshot chunks in the platform's store. */
export const snapshotPrefix = 'snapshots/';

/** Key of the object that refers to the newest complete snapshot. */
export const snapshotHeadKey = 'snapshot-heads/main';

/**
 * Formats the platform key of one chunk of a snapshot.
 *
 * @param version - version of the configuration in the snapshot
 * @param index - number of the chunk, from 0
 * @returns the key; keys sort by version, then by chunk
 * @example
 * formatSnapshotKey(256, 0); // 'snapshots/000000000256-0000'
 */
export function formatSnapshotKey(version: number, index: number): string {
	const versionPart = String(version).padStart(12, '0');
	return `${snapshotPrefix}${versionPart}-${String(index).padStart(4, '0')}`;
}
