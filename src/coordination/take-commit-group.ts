import {Buffer} from 'node:buffer';
import {maxCommitsPerEntry, maxEntryBytes} from '../protocol/constants.js';
import type {PendingSubmission} from './commit-state.js';
import {interleaveByTeam} from './interleave-by-team.js';

/** Options of `takeCommitGroup`. */
export type CommitGroupOptions = {
	/** Most submissions in a group; default `maxCommitsPerEntry`. */
	readonly maxCommits?: number;
	/** Most bytes of manifests in a group; default `maxEntryBytes`. */
	readonly maxBytes?: number;
};

/**
 * Takes the next group of waiting submissions, round-robin by team.
 *
 * @param waiting - waiting submissions in order of arrival
 * @param options - see `CommitGroupOptions`
 * @returns the group, never empty when something waits, and the rest
 * @example
 * takeCommitGroup(waiting).group.length;
 */
export function takeCommitGroup(
	waiting: readonly PendingSubmission[],
	options: CommitGroupOptions = {},
): {
	readonly group: readonly PendingSubmission[];
	readonly rest: readonly PendingSubmission[];
} {
	const {maxCommits = maxCommitsPerEntry, maxBytes = maxEntryBytes} = options;
	const ordered = interleaveByTeam(waiting);
	let bytes = 0;
	const group: PendingSubmission[] = [];
	for (const item of ordered.slice(0, maxCommits)) {
		bytes += Buffer.byteLength(JSON.stringify(item.manifest));
		if (group.length > 0 && bytes > maxBytes) {
			break;
		}

		group.push(item);
	}

	const taken = new Set(group);
	return {group, rest: waiting.filter((item) => !taken.has(item))};
}
