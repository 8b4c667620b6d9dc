import {decodeList} from '../protocol/decode-list.js';
import type {UnreadablePart} from '../protocol/decode-value.js';
import {
	rolloutDirectiveSchema,
	runningVersionSchema,
	startedTargetSchema,
	versionCountSchema,
	type RolloutAnswer,
	type RolloutDirective,
	type RolloutReport,
	type RunningVersion,
	type StartedTarget,
	type VersionCount,
} from '../protocol/rollout.js';

/** Lists of a report or an answer, without what cannot be read. */
export type RolloutLists = {
	readonly counts: readonly VersionCount[];
	readonly directives: readonly RolloutDirective[];
	readonly running: readonly RunningVersion[];
	readonly started: readonly StartedTarget[];
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
	message: Partial<RolloutReport> & Partial<RolloutAnswer>,
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
	const started = decodeList(message.started ?? [], {
		schema: startedTargetSchema,
		place: 'started',
		maxLength: maxServices,
	});
	return {
		counts: counts.value,
		directives: directives.value,
		running: running.value,
		started: started.value,
		unreadable: [counts, directives, running, started].flatMap(
			({unreadable}) => unreadable,
		),
	};
}
