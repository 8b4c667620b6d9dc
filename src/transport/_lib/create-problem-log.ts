import {
	maxCheckedProblems,
	maxKnownProblems,
	maxLoggedProblems,
	problemRetentionMs,
} from '../../protocol/constants.js';
import type {Logger} from '../create-logger.js';
import {createRecentSet} from './create-recent-set.js';

/** A part of what others have written that cannot be read. */
export type Problem = {readonly place: string; readonly reason: string};

/**
 * Creates a function that logs the problems with what was read, each once and
 * not at every read.
 *
 * @param logger - logger for the problems
 * @param message - message of their lines
 * @param now - monotonic ms
 * @returns the function
 */
export function createProblemLog(
	logger: Pick<Logger, 'warn'>,
	message: string,
	now: () => number = () => performance.now(),
): (problems: readonly Problem[]) => void {
	const known = createRecentSet({
		retentionMs: problemRetentionMs,
		maxKeys: maxKnownProblems,
		now,
	});
	return (problems) => {
		// Beyond the number of those that are kept, each would be found to be new at every read.
		const found = problems
			.slice(0, maxCheckedProblems)
			.filter(({place, reason}) => !known.has(`${place}: ${reason}`));
		const logged = found.slice(0, maxLoggedProblems);
		const omitted = problems.length - logged.length;
		for (const {place, reason} of found) {
			known.add(`${place}: ${reason}`);
		}

		for (const {place, reason} of logged) {
			logger.warn(message, {place, reason, omitted});
		}
	};
}
