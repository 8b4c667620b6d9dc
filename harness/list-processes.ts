import {runningChildren} from './_lib/running-children.js';

/**
 * Lists the processes that `startProcess` has started and that have not ended.
 *
 * @returns their process identifiers
 * @example
 * listProcesses().length; // 0
 */
export function listProcesses(): readonly number[] {
	return [...runningChildren].flatMap(({pid}) =>
		pid === undefined ? [] : [pid],
	);
}
