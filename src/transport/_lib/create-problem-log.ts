import {msPerMinute} from '../../protocol/constants.js';
import type {UnreadablePart} from '../../protocol/decode-value.js';
import type {Logger} from '../create-logger.js';
import {createRecentSet} from './create-recent-set.js';

/** Options of `createProblemLog`. */
export type ProblemLogOptions = {
	readonly logger: Pick<Logger, 'warn'>;
	/** Message of the lines. */
	readonly message: string;
	/** Monotonic ms; `performance.now` when absent. */
	readonly now?: () => number;
};

/** Logs what others have written and the node cannot use, with who sent it if that is known. */
export type ProblemLog = (
	problems: readonly UnreadablePart[],
	source?: string,
) => void;

/** Time after which a problem that has not occurred again is logged again, ms. */
const retentionMs = 60 * msPerMinute;
const maxKeys = 1024;
/** Maximum number of lines per minute; the other problems are only counted. */
const maxLinesPerMinute = 16;

/**
 * Creates a log of what others have written and the node cannot use. A problem
 * is logged once, however often it occurs.
 *
 * @param options - see `ProblemLogOptions`
 * @returns the log
 */
export function createProblemLog(options: ProblemLogOptions): ProblemLog {
	const {logger, message, now = () => performance.now()} = options;
	const known = createRecentSet({retentionMs, maxKeys, now});
	let windowStartedAt = now();
	let lines = 0;
	let omitted = 0;

	function log({place, reason}: UnreadablePart, source?: string): void {
		if (now() - windowStartedAt >= msPerMinute) {
			windowStartedAt = now();
			lines = 0;
		}

		if (lines >= maxLinesPerMinute) {
			omitted++;
			return;
		}

		lines++;
		logger.warn(message, {
			...(source !== undefined && {source}),
			place,
			reason,
			omitted,
		});
		omitted = 0;
	}

	return (problems, source) => {
		for (const problem of problems) {
			const key = `${problem.place} ${problem.reason}`;
			if (!known.has(key)) {
				log(problem, source);
			}

			known.add(key);
		}
	};
}
