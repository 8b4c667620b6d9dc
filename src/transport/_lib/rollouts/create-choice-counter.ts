import {msPerSecond} from '../../../protocol/constants.js';
import type {ChoiceCount, VersionChosen} from '../../../protocol/rollout.js';
import type {Logger} from '../../create-logger.js';

/** Counts the versions that were chosen for requests. */
export type ChoiceCounter = {
	record(chosen: VersionChosen): void;
	list(): readonly ChoiceCount[];
};

const logIntervalMs = 2 * msPerSecond;

/**
 * Creates a counter of the versions that a caller's node has chosen for requests,
 * which logs at intervals what has been counted since the line before.
 *
 * @param options - where the lines go, and monotonic ms
 * @returns the counter
 */
export function createChoiceCounter(options: {
	readonly logger: Pick<Logger, 'info'>;
	readonly now: () => number;
}): ChoiceCounter {
	const {logger, now} = options;
	const counts = new Map<string, VersionChosen & {count: number}>();
	const logged = new Map<string, number>();
	let loggedAt = now();

	function log(): void {
		loggedAt = now();
		const choices = [...counts].flatMap(([key, {count, ...chosen}]) => {
			const added = count - (logged.get(key) ?? 0);
			logged.set(key, count);
			return added === 0 ? [] : [{...chosen, count: added}];
		});
		logger.info('versions chosen', {choices});
	}

	return {
		record(chosen) {
			const {service, version, reason} = chosen;
			const key = JSON.stringify([service, version, reason]);
			const known = counts.get(key);
			if (known) {
				known.count++;
			} else {
				counts.set(key, {service, version, reason, count: 1});
			}

			if (now() - loggedAt >= logIntervalMs) {
				log();
			}
		},
		list: () => [...counts.values()],
	};
}
