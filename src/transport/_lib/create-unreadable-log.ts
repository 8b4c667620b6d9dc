import {msPerMinute} from '../../protocol/constants.js';
import type {UnreadablePart} from '../../protocol/decode-value.js';
import type {Logger} from '../create-logger.js';
import {createRecentSet} from './create-recent-set.js';

/** Options of `createUnreadableLog`. */
export type UnreadableLogOptions = {
	readonly logger: Pick<Logger, 'warn'>;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Logs the parts of messages that cannot be read. */
export type UnreadableLog = {
	/** Records the unreadable parts of a message, with the node that sent it. */
	record(source: string, unreadable: readonly UnreadablePart[]): void;
};

/** Time after which a part that has not been received again is logged again, ms. */
const retentionMs = 10 * msPerMinute;
const maxKeys = 1024;
/** Maximum number of lines per minute; the other parts are only counted. */
const maxLinesPerMinute = 16;

/**
 * Creates a log of the parts of messages that cannot be read. A part is logged
 * once, however often it is received.
 *
 * @param options - see `UnreadableLogOptions`
 * @returns the log
 */
export function createUnreadableLog(
	options: UnreadableLogOptions,
): UnreadableLog {
	const {logger, now} = options;
	const known = createRecentSet({retentionMs, maxKeys, now});
	let windowStartedAt = now();
	let lines = 0;
	let omitted = 0;

	function log(source: string, {place, reason}: UnreadablePart): void {
		if (now() - windowStartedAt >= msPerMinute) {
			windowStartedAt = now();
			lines = 0;
		}

		if (lines >= maxLinesPerMinute) {
			omitted++;
			return;
		}

		lines++;
		logger.warn('part of a message not readable', {
			source,
			place,
			reason,
			omitted,
		});
		omitted = 0;
	}

	return {
		record(source, unreadable) {
			for (const part of unreadable) {
				const key = `${part.place} ${part.reason}`;
				if (!known.has(key)) {
					log(source, part);
				}

				known.add(key);
			}
		},
	};
}
