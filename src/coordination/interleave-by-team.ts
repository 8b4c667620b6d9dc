import type {Submission} from '../protocol/configuration.js';

/**
 * Orders submissions round-robin by team and keeps the order within each team.
 *
 * @param submissions - submissions in order of arrival
 * @returns the same submissions, one of each team in turn
 * @example
 * interleaveByTeam([a1, a2, b1]); // [a1, b1, a2]
 */
export function interleaveByTeam<Item extends Submission>(
	submissions: readonly Item[],
): readonly Item[] {
	const queues = new Map<string, Item[]>();
	for (const submission of submissions) {
		const queue = queues.get(submission.manifest.team) ?? [];
		queue.push(submission);
		queues.set(submission.manifest.team, queue);
	}

	const ordered: Item[] = [];
	for (let round = 0; ordered.length < submissions.length; round++) {
		for (const queue of queues.values()) {
			if (queue[round]) {
				ordered.push(queue[round]!);
			}
		}
	}

	return ordered;
}
