import {decodeList} from '../protocol/decode-list.js';
import type {UnreadablePart} from '../protocol/decode-value.js';
import {
	rolloutDirectiveSchema,
	runningVersionSchema,
	versionCountSchema,
	type RolloutAnswer,
	type RolloutDirective,
	type RolloutReport,
	type RunningVersion,
	type VersionCount,
} from '../protocol/rollout.js';

/** Lists of a report or an answer, without what cannot be read. */
export type RolloutLists = {
	readonly counts: readonly VersionCount[];
	readonly directives: readonly RolloutDirective[];
	readonly running: readonly RunningVersion[];
	readonly unreadable: readonly UnreadablePart[];
};

/** Limits of a message; more than a deployment has services, routes and versions. */
const maxCounts = 256;
const maxServices = 64;

/**
 * Decodes the lists of a report on roll-outs or of the answer to it. An entry that
 * cannot be read is left out, as the sender may run another version.
 *
 * @param message - the report or answer
 * @returns what can be read
 * @example
 * decodeRolloutLists({directives: ['odd']}).directives; // []
 */
export function decodeRolloutLists(
	message: Partial<RolloutReport> & RolloutAnswer,
): RolloutLists {
	const counts = decodeList(message.counts ?? [], {
		schema: versionCountSchema,
		place: 'counts',
		maxLength: maxCounts,
	});
	const directives = decodeList(message.directives ?? [], {
		schema: rolloutDirectiveSchema,
		place: 'directives',
		maxLength: maxServices,
	});
	const running = decodeList(message.running ?? [], {
		schema: runningVersionSchema,
		place: 'running',
		maxLength: maxServices,
	});
	return {
		counts: counts.value,
		directives: directives.value,
		running: running.value,
		unreadable: [counts, directives, running].flatMap(
			({unreadable}) => unreadable,
		),
	};
}
